use {
  super::{Key, TargetSet},
  crate::Revision,
  serde::{Deserialize, Serialize},
};

/// A document with its revision, as processes exchange it. A service also has its earlier target
/// sets, which a process that has just started could not know otherwise.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
  /// Earlier target sets of a service, newest first; empty for other documents.
  pub history: Vec<TargetSet>,
  /// The document's key.
  pub key: Key,
  /// The revision that the platform gave the document.
  pub revision: Revision,
  /// The JSON text; none if the document was deleted.
  pub text: Option<String>,
}

impl Record {
  /// Creates a record without history, as the platform stores it.
  pub fn new(key: Key, revision: Revision, text: Option<String>) -> Self {
    Self {
      history: Vec::new(),
      key,
      revision,
      text,
    }
  }
}
