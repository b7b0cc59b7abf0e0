use {
  super::{Flow, Head},
  crate::Code,
  std::time::Duration,
};

/// How the packets of the flows look. The system never changes what an upstream or a caller reads.
pub trait Codec: Clone + Send + 'static {
  /// How many copies of an opening packet a caller sends, each numbered (`Head::acknowledges`).
  const COPIES: u32;

  /// How long after the first copy a caller sends the second.
  const GAP: Duration;

  /// How long after the first copy a caller gives the flow up.
  const PATIENCE: Duration;

  /// How long after the first copy a caller sends another: each gap is twice the one before it.
  fn age(copy: u32) -> Duration {
    Self::GAP * ((1 << copy.min(Self::COPIES)) - 1)
  }

  /// How long after the first copy a caller was heard of for certain, if it went on: until its last
  /// copy and a gap more.
  fn heard() -> Duration {
    Self::age(Self::COPIES - 1) + Self::GAP
  }

  /// Reads a packet on its way to an upstream.
  fn read_from_caller(&self, packet: &[u8]) -> Result<Head, Code>;

  /// Reads a packet that an upstream wrote, or sent back.
  fn read_from_upstream(&self, packet: &[u8]) -> Result<Head, Code>;

  /// Makes a packet that an upstream sent back what its caller wrote.
  fn restore(&self, packet: &mut [u8]);

  /// Writes the packet that breaks off a flow for its caller, who last acknowledged `acknowledges`.
  fn write_reset(&self, flow: &Flow, acknowledges: u32, out: &mut Vec<u8>);
}
