//! The state of a process, as shown in its state dump.

use {
  serde_json::{Map, Value},
  std::sync::{Arc, Mutex, PoisonError},
};

/// The latest state that each part of a process has reported, shared between its threads.
#[derive(Clone, Debug, Default)]
pub struct Registry(Arc<Mutex<Map<String, Value>>>);

impl Registry {
  /// The latest state of one part; none before its first report.
  pub fn get(&self, part: &str) -> Option<Value> {
    self
      .0
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
      .get(part)
      .cloned()
  }

  /// The states of all parts, as an object with one key per part.
  pub fn all(&self) -> Value {
    Value::Object(
      self
        .0
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone(),
    )
  }

  /// Replaces the state of a part.
  pub fn set(&self, part: &str, state: Value) {
    self
      .0
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
      .insert(part.into(), state);
  }

  /// The states of all parts as JSON text.
  pub fn text(&self) -> String {
    self.all().to_string()
  }
}
