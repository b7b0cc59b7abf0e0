use super::Flow;

/// The header fields of a packet that are read here. The rest belongs to the caller and the
/// upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[expect(clippy::struct_excessive_bools, reason = "the flags of a packet")]
pub struct Head {
  /// The acknowledgement number; in an opening packet, the number of the attempt, from 0.
  pub acknowledges: u32,
  /// The length of the data, in bytes.
  pub data: u16,
  /// Whether the sender closes its direction.
  pub ends: bool,
  /// The flow, whatever the direction of the packet.
  pub flow: Flow,
  /// Whether it opens a flow, or is the upstream's answer to a packet that does.
  pub opens: bool,
  /// Whether the sender resets the flow.
  pub resets: bool,
  /// Whether an upstream that doesn't own the flow returned the packet.
  pub returned: bool,
  /// The sequence number.
  pub sequence: u32,
}
