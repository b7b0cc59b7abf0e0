//! The record of a run: what was sent, answered and run, with times in seconds since its start.

use std::{
  collections::HashMap,
  fmt::Write as _,
  fs,
  net::SocketAddrV4,
  path::Path,
  sync::{Mutex, PoisonError},
  time::{Duration, Instant},
};

/// The copies of an opening packet: when each was sent, and to which node.
pub type Copies = Vec<(Duration, SocketAddrV4)>;

pub struct Record {
  start: Instant,
  lines: Mutex<Vec<(Duration, String)>>,
  /// The copies of each opening packet, by the requester's end and the sequence number.
  copies: Mutex<HashMap<(SocketAddrV4, u32), Copies>>,
}

impl Record {
  pub fn new() -> Self {
    Self {
      start: Instant::now(),
      lines: Mutex::default(),
      copies: Mutex::default(),
    }
  }

  /// Notes that a copy of an opening packet is sent to a node.
  pub fn note_copy(&self, from: SocketAddrV4, seq: u32, node: SocketAddrV4) {
    let mut copies = self.copies.lock().unwrap_or_else(PoisonError::into_inner);
    copies
      .entry((from, seq))
      .or_default()
      .push((self.now(), node));
  }

  /// The copies of an opening packet.
  pub fn copies(&self, from: SocketAddrV4, seq: u32) -> Copies {
    let copies = self.copies.lock().unwrap_or_else(PoisonError::into_inner);
    copies.get(&(from, seq)).cloned().unwrap_or_default()
  }

  /// The time since the start of the run.
  pub fn now(&self) -> Duration {
    self.start.elapsed()
  }

  pub fn note(&self, line: String) {
    self.note_at(self.now(), line);
  }

  pub fn note_at(&self, at: Duration, line: String) {
    let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
    lines.push((at, line));
  }

  /// Notes a line and prints it.
  pub fn say(&self, line: &str) {
    println!("{:8.3} {line}", self.now().as_secs_f64());
    self.note(line.to_owned());
  }

  pub fn write(&self, path: &Path) {
    let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
    lines.sort_by_key(|(at, _)| *at);
    let mut text = String::new();
    for (at, line) in lines.iter() {
      let _ = writeln!(text, "{:8.3} {line}", at.as_secs_f64());
    }
    let _ = fs::write(path, text);
  }
}

/// A small generator of pseudo-random numbers (xorshift).
pub struct Random(u64);

impl Random {
  pub fn new(seed: u64) -> Self {
    Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
  }

  pub fn next(&mut self) -> u64 {
    self.0 ^= self.0 << 13;
    self.0 ^= self.0 >> 7;
    self.0 ^= self.0 << 17;
    self.0
  }
}
