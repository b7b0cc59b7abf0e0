use {
  super::{Key, Set},
  crate::Revision,
  serde::{Deserialize, Serialize},
};

/// A document as it passes between processes: text, revision, and for a service the target sets
/// that stood before, since a process that has just started has seen none of them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
  /// Earlier target sets, newest first.
  pub history: Vec<Set>,
  /// The platform's name of the document.
  pub key: Key,
  /// The platform's revision.
  pub revision: Revision,
  /// The JSON text; none when the document was deleted.
  pub text: Option<String>,
}

impl Record {
  /// A record as the platform gives it, without history.
  pub fn new(key: Key, revision: Revision, text: Option<String>) -> Self {
    Self {
      history: Vec::new(),
      key,
      revision,
      text,
    }
  }
}
