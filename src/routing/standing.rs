use serde::{Deserialize, Serialize};

/// What a balancer believes of a target when it places a new flow. Established flows go to their
/// target whatever is believed of it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
  /// It goes soon and takes nothing new.
  Leaving,
  /// It serves.
  #[default]
  Live,
  /// It does not answer; perhaps it is dead, perhaps it cannot be reached.
  Silent,
}
