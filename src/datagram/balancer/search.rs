use {
  smallvec::SmallVec,
  std::{net::SocketAddrV4, time::Instant},
};

/// A flow that is being looked for.
#[derive(Clone, Debug)]
pub struct Search {
  /// Who was asked, and who had said no before that.
  pub asked: SmallVec<[SocketAddrV4; 12]>,
  /// What the caller last acknowledged.
  pub acknowledges: u32,
  /// When the answers that came have to do.
  pub deadline: Instant,
  /// How many bytes were copied to all.
  pub bytes: usize,
  /// Who has not answered.
  pub waiting: SmallVec<[SocketAddrV4; 12]>,
}
