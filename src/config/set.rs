use {
  super::Target,
  crate::Revision,
  serde::{Deserialize, Serialize},
};

/// The targets of a service at one revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Set {
  /// The revision that brought them.
  pub revision: Revision,
  /// The targets.
  pub targets: Vec<Target>,
}
