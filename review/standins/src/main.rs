//! Plays the cases of the review: the project's own programs as separate processes, and stand-ins
//! for the store, the routers, the requesters and the targets.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod cases;
mod cluster;
mod fabric;
mod record;
mod requester;
mod store;
mod target;
mod wire;

use {
  record::Record,
  std::{path::PathBuf, process::ExitCode, thread, time::Duration},
};

/// After this long the case counts as not run.
const LIMIT: Duration = Duration::from_secs(100);

fn main() -> ExitCode {
  let mut arguments = std::env::args().skip(1);
  let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
    eprintln!("usage: review-standins CASE FOLDER");
    return ExitCode::from(2);
  };
  let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
    Ok(record) => record,
    Err(error) => {
      eprintln!("record.txt: {error}");
      return ExitCode::from(2);
    }
  };
  let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
  record.line(&format!("case {case}, with the disruption: {with_trouble}"));
  let (sender, done) = std::sync::mpsc::channel();
  let playing = record.clone();
  thread::spawn(move || {
    let _ = sender.send(cases::play(&case, with_trouble, &playing));
  });
  let result = done
    .recv_timeout(LIMIT)
    .unwrap_or_else(|_| Err("the case took too long".into()));
  let (text, code) = match result {
    Ok(0) => ("the rule held".to_owned(), 0),
    Ok(broken) => (format!("THE RULE WAS BROKEN {broken} time(s)"), 1),
    Err(reason) => (format!("the case could not run: {reason}"), 2),
  };
  cluster::kill_children();
  record.line(&text);
  println!("{text}");
  ExitCode::from(code)
}
