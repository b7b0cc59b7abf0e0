use {
  super::{Entry, Health, Table},
  crate::{
    Code, id,
    wire::{CHAIN_MAX, Chain, Flow},
  },
  arrayvec::ArrayVec,
  smallvec::SmallVec,
  std::net::SocketAddr,
};

/// The number of candidates for a key in each set of targets.
const CANDIDATES_PER_SET: usize = 2;

/// The loads that targets reported.
pub trait Loads {
  /// The last load that a target reported, from 0 (idle or unknown) to 255 (full).
  fn load(&self, service: id::Service, target: id::Target) -> u8;
}

/// The next destination of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hop {
  /// The address of the target's agent.
  pub address: SocketAddr,
  /// The target whose agent decides on the packet.
  pub target: id::Target,
}

impl From<&Entry> for Hop {
  fn from(entry: &Entry) -> Self {
    Self {
      address: entry.address,
      target: entry.id,
    }
  }
}

/// Where a balancer sends a packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
  /// To `first`, from which it is forwarded along `chain` until a target owns the flow; the last
  /// target may open it. Each of `copies` is sent a copy, which only the owner of the flow accepts.
  Chain {
    /// The targets after the first, in order.
    chain: Chain,
    /// Silent targets, which may own the flow; a chain would end at a dead one.
    copies: Vec<Hop>,
    /// The first target.
    first: Hop,
    /// Whether the targets of `copies` may search for the flow at others; set when all targets are
    /// silent.
    search: bool,
  },
  /// To the target that the packet names.
  Named(Hop),
  /// To a live target, since this process doesn't know the named one; it forwards the packet if it
  /// does.
  Relay(Hop),
}

/// Routes packets by a table, without any state of its own.
#[derive(Clone, Copy, Debug, Default)]
pub struct Machine;

impl Machine {
  /// Routes a packet of the table's service. Fails with [`Code::PacketUnroutable`] if there is no
  /// target that it can be sent to.
  pub fn step(table: &Table, flow: Flow, loads: &impl Loads) -> Result<Route, Code> {
    match flow {
      Flow::Keyed { key, opens } => Self::route_keyed(table, key, opens, loads),
      Flow::Named { target, .. } => Self::route_named(table, target),
    }
  }

  /// The target to use for a key in place of those in `except`: the first candidate among the other
  /// live targets of the current set; none if there is no other.
  pub fn alternative(table: &Table, key: u64, except: &[id::Target]) -> Option<Hop> {
    table
      .current()
      .filter(|entry| entry.health == Health::Live && !except.contains(&entry.id))
      .max_by_key(|entry| entry.rank.score(key))
      .map(Hop::from)
  }

  /// A live target through which a packet for a silent one is sent as well, since that may be
  /// unreachable only from this process; none if the target is not silent. `key` distributes the
  /// packets over the live targets.
  pub fn relay(table: &Table, target: id::Target, key: u64) -> Option<Hop> {
    let entry = table.get(target)?;
    if entry.health != Health::Silent {
      return None;
    }
    Self::alternative(table, key, &[target])
  }

  fn route_named(table: &Table, target: id::Target) -> Result<Route, Code> {
    if let Some(entry) = table.get(target) {
      return Ok(Route::Named(Hop::from(entry)));
    }
    Self::alternative(table, target.0.into(), &[])
      .map(Route::Relay)
      .ok_or(Code::PacketUnroutable)
  }

  fn route_keyed(table: &Table, key: u64, opens: bool, loads: &impl Loads) -> Result<Route, Code> {
    let scores = Scores::new(table, key);
    let current = &table.sets(true)[0];
    let live = scores.candidates(table, current, |entry| entry.health == Health::Live);
    let mut last = Self::least_loaded(table, &live, loads);
    if last.is_none() && opens {
      // No target of the current set is live. A silent one may be unreachable only from this
      // process: use the one with the highest score.
      let silent = |entry: &Entry| entry.health == Health::Silent;
      last = scores.candidates(table, current, silent).first().copied();
    }
    let mut chain = Indices::new();
    let mut copies = Indices::new();
    let sets = table.sets(opens).iter();
    let candidates = sets.flat_map(|set| scores.candidates(table, set, |_| true));
    for index in candidates.chain(live) {
      if Some(index) != last {
        Self::add_candidate(table, index, &mut chain, &mut copies);
      }
    }
    chain.truncate(CHAIN_MAX - 1);
    chain.reverse();
    chain.extend(last);
    let mut search = false;
    if chain.is_empty() {
      // All candidates are silent. A responsive target that is no candidate may have cached the
      // owner of the flow; if all targets are silent, up to `CHAIN_MAX` of them are sent the
      // packet.
      chain.extend(scores.best_responsive(table));
      search = chain.is_empty();
      if search {
        copies = (0..table.entries().len() as u16).take(CHAIN_MAX).collect();
        chain.extend(copies.pop());
      }
    }
    let mut chain = chain.iter().map(|index| Hop::from(table.entry(*index)));
    let first = chain.next().ok_or(Code::PacketUnroutable)?;
    let copies = copies.iter().map(|index| Hop::from(table.entry(*index)));
    Ok(Route::Chain {
      chain: chain.map(|hop| hop.target).collect(),
      copies: copies.collect(),
      first,
      search,
    })
  }

  /// Adds a candidate to `copies` if it is silent, since a dead target would end the chain, and to
  /// `chain` otherwise.
  fn add_candidate(table: &Table, index: u16, chain: &mut Indices, copies: &mut Indices) {
    let silent = table.entry(index).health == Health::Silent;
    let list = if silent { copies } else { chain };
    if !list.contains(&index) {
      list.push(index);
    }
  }

  fn least_loaded(table: &Table, candidates: &[u16], loads: &impl Loads) -> Option<u16> {
    candidates
      .iter()
      .copied()
      .min_by_key(|index| loads.load(table.service(), table.entry(*index).id))
  }
}

/// Indices of a table's entries; up to 32 of them need no heap allocation.
type Indices = SmallVec<[u16; 32]>;

/// The targets of a set with the highest scores, as indices of the table's entries, best first.
type Candidates = ArrayVec<u16, CANDIDATES_PER_SET>;

/// The scores of a table's entries for one key, in the order of the entries.
struct Scores(SmallVec<[u64; 32]>);

impl Scores {
  fn new(table: &Table, key: u64) -> Self {
    Self(
      table
        .entries()
        .iter()
        .map(|entry| entry.rank.score(key))
        .collect(),
    )
  }

  /// The target with the highest score among all that are not silent.
  fn best_responsive(&self, table: &Table) -> Option<u16> {
    let entries = table.entries().iter().zip(0..);
    entries
      .filter(|(entry, _)| entry.health != Health::Silent)
      .map(|(_, index)| index)
      .max_by_key(|index: &u16| self.0[usize::from(*index)])
  }

  /// The candidates among those targets of a set that `filter` accepts.
  fn candidates(&self, table: &Table, set: &[u16], filter: impl Fn(&Entry) -> bool) -> Candidates {
    let mut best = Candidates::new();
    for index in set {
      if !filter(table.entry(*index)) {
        continue;
      }
      let score = self.0[usize::from(*index)];
      let position = best
        .iter()
        .position(|other| self.0[usize::from(*other)] < score)
        .unwrap_or(best.len());
      if position < CANDIDATES_PER_SET {
        best.truncate(CANDIDATES_PER_SET - 1);
        best.insert(position, *index);
      }
    }
    best
  }
}
