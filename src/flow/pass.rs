use crate::{
  routing::Hop,
  wire::{Carry, Chain},
};

/// How a packet is sent on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pass {
  /// The targets to be asked after the next one.
  pub chain: Chain,
  /// How often a target that could not open the flow has sent it to another.
  pub redirects: u8,
  /// The next target.
  pub to: Hop,
  /// Whether the last target may open the flow.
  pub whole: bool,
}

impl Pass {
  /// To one target, which may not open the flow.
  pub fn to(to: Hop) -> Self {
    Self {
      chain: Chain::new(),
      redirects: 0,
      to,
      whole: false,
    }
  }

  /// To one target of a chain.
  pub(super) fn along(carry: &Carry, to: Hop, chain: Chain) -> Self {
    Self {
      chain,
      redirects: carry.redirects,
      to,
      whole: carry.whole,
    }
  }
}
