//! The dump of a process's state on request.

use {
  serde_json::{Map, Value},
  std::sync::{Arc, Mutex, PoisonError},
};

/// The last state of each part of a process, to be dumped.
#[derive(Clone, Debug, Default)]
pub struct Registry(Arc<Mutex<Map<String, Value>>>);

impl Registry {
  /// The last state of a part.
  pub fn get(&self, part: &str) -> Option<Value> {
    self
      .0
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
      .get(part)
      .cloned()
  }

  /// The whole state.
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

  /// The whole state as JSON.
  pub fn text(&self) -> String {
    self.all().to_string()
  }
}
