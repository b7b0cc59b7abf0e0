use super::Flow;

/// What the system reads of a packet. The rest belongs to the caller and the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[expect(clippy::struct_excessive_bools, reason = "the flags of a packet")]
pub struct Head {
  /// Which of the other end's bytes have arrived; of an opening packet, which copy it is (0, 1..).
  pub acknowledges: u32,
  /// How many bytes of data follow.
  pub data: u16,
  /// Whether the sender has nothing more to say.
  pub ends: bool,
  /// The flow, whichever way the packet goes.
  pub flow: Flow,
  /// Whether it opens a flow; an upstream's answers a caller's.
  pub opens: bool,
  /// Whether the sender breaks the flow off.
  pub resets: bool,
  /// Whether an upstream that does not hold the flow sent the packet back.
  pub returned: bool,
  /// The sender's own count.
  pub sequence: u32,
}
