//! What was sent, answered and run, with the seconds since the start.

use std::{
  fs::File,
  io::Write,
  path::Path,
  sync::{Arc, Mutex},
  time::Instant,
};

#[derive(Clone)]
pub struct Record {
  file: Arc<Mutex<File>>,
  start: Instant,
}

impl Record {
  pub fn create(path: &Path) -> std::io::Result<Self> {
    let file = Arc::new(Mutex::new(File::create(path)?));
    Ok(Self {
      file,
      start: Instant::now(),
    })
  }

  pub fn line(&self, text: &str) {
    let seconds = self.start.elapsed().as_secs_f64();
    let mut file = self.file.lock().unwrap();
    let _ = writeln!(file, "{seconds:8.3} {text}");
  }
}
