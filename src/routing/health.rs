use serde::{Deserialize, Serialize};

/// The health of a target, by which new flows are placed. Packets of established flows are sent to
/// their target whatever its health is.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
  /// It is draining: it keeps its flows and opens no new ones.
  Leaving,
  /// It is available for new flows.
  #[default]
  Live,
  /// It is unresponsive: it is dead or cannot be reached from here.
  Silent,
}
