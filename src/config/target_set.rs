use {
  super::Target,
  crate::Revision,
  serde::{Deserialize, Serialize},
};

/// The targets of a service as of one revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetSet {
  /// The revision of the document that listed them.
  pub revision: Revision,
  /// The targets in the order of the document.
  pub targets: Vec<Target>,
}
