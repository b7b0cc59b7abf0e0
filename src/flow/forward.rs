use crate::{
  routing::Hop,
  wire::{Carry, Chain},
};

/// A packet's next target, with the header fields that it is forwarded with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Forward {
  /// The targets that it is forwarded to after `to`, in order, until one owns its flow.
  pub chain: Chain,
  /// How many times a target that could not open the flow has redirected it.
  pub redirects: u8,
  /// The next target.
  pub to: Hop,
  /// Whether the last target of the chain may open the flow.
  pub may_open: bool,
}

impl Forward {
  /// Forwards to a single target, without the permission to open the flow.
  pub fn to(to: Hop) -> Self {
    Self {
      chain: Chain::new(),
      redirects: 0,
      to,
      may_open: false,
    }
  }

  /// Forwards to `to` and then along `chain`, with the frame's permission to open the flow.
  pub(super) fn along(carry: &Carry, to: Hop, chain: Chain) -> Self {
    Self {
      chain,
      redirects: carry.redirects,
      to,
      may_open: carry.may_open,
    }
  }
}
