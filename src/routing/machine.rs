use {
  super::{Entry, Standing, Table},
  crate::{
    Code, id,
    wire::{CHAIN_MAX, Chain, Flow},
  },
  arrayvec::ArrayVec,
  smallvec::SmallVec,
  std::net::SocketAddr,
};

/// How many candidates each set of targets has for a key.
const CANDIDATES: usize = 2;

/// How busy targets said they are, in 1/255 of what they may hold; 0 where nothing is known.
pub trait Loads {
  /// The last word of a target.
  fn load(&self, service: id::Service, target: id::Target) -> u8;
}

/// One destination of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hop {
  /// Where it goes.
  pub address: SocketAddr,
  /// Who it is for.
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

/// What becomes of a packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
  /// To `first`, which hands it along `chain` until somebody has the flow; the last may open it.
  /// Each of `copies` gets a copy that it takes only if the flow is its own already.
  Chain {
    /// The targets after the first.
    chain: Chain,
    /// Silent targets, which might have the flow but must not hold up the chain.
    copies: Vec<Hop>,
    /// The first target.
    first: Hop,
    /// Whether those that get a copy may look for the flow elsewhere, since all are silent.
    search: bool,
  },
  /// To the target that the packet names.
  Named(Hop),
  /// To a target that may know the one that the packet names, since this process does not.
  Relay(Hop),
}

/// Decides where packets go. It keeps nothing between two packets.
#[derive(Clone, Copy, Debug, Default)]
pub struct Machine;

impl Machine {
  /// The route of one packet of the table's service.
  pub fn step(table: &Table, flow: Flow, loads: &impl Loads) -> Result<Route, Code> {
    match flow {
      Flow::Keyed { key, opens } => Self::chain(table, key, opens, loads),
      Flow::Named { target, .. } => Self::named(table, target),
    }
  }

  /// The live target that a flow which somebody else may not take goes to: the key's first among
  /// those that are not in `except`.
  pub fn alternative(table: &Table, key: u64, except: &[id::Target]) -> Option<Hop> {
    table
      .current()
      .filter(|entry| entry.standing == Standing::Live && !except.contains(&entry.id))
      .max_by_key(|entry| entry.rank.score(key))
      .map(Hop::from)
  }

  fn named(table: &Table, target: id::Target) -> Result<Route, Code> {
    if let Some(entry) = table.get(target) {
      return Ok(Route::Named(Hop::from(entry)));
    }
    Self::alternative(table, target.0.into(), &[])
      .map(Route::Relay)
      .ok_or(Code::PacketUnroutable)
  }

  fn chain(table: &Table, key: u64, opens: bool, loads: &impl Loads) -> Result<Route, Code> {
    let scores = Scores::new(table, key);
    let current = &table.sets(true)[0];
    let open = scores.best(table, current, |entry| entry.standing == Standing::Live);
    let mut last = Self::preferred(table, &open, loads);
    if last.is_none() && opens {
      // Nobody is known to live: the fault may be on this side, and one must be tried.
      let silent = |entry: &Entry| entry.standing == Standing::Silent;
      last = scores.best(table, current, silent).first().copied();
    }
    let mut asked = Places::new();
    let mut copies = Places::new();
    let sets = table.sets(opens).iter();
    let candidates = sets.flat_map(|set| scores.best(table, set, |_| true));
    for index in candidates.chain(open) {
      if Some(index) != last {
        Self::ask(table, index, &mut asked, &mut copies);
      }
    }
    asked.truncate(CHAIN_MAX - 1);
    asked.reverse();
    asked.extend(last);
    let mut search = false;
    if asked.is_empty() {
      // All candidates are silent: another target may know where the flow is, and if all targets
      // are silent, each is asked.
      asked.extend(scores.any(table));
      search = asked.is_empty();
      if search {
        copies = (0..table.entries().len() as u16).take(CHAIN_MAX).collect();
        asked.extend(copies.pop());
      }
    }
    let mut asked = asked.iter().map(|index| Hop::from(table.entry(*index)));
    let first = asked.next().ok_or(Code::PacketUnroutable)?;
    let copies = copies.iter().map(|index| Hop::from(table.entry(*index)));
    Ok(Route::Chain {
      chain: asked.map(|hop| hop.target).collect(),
      copies: copies.collect(),
      first,
      search,
    })
  }

  /// Puts a candidate in its place: silent ones are told aside, since a dead one ends a chain.
  fn ask(table: &Table, index: u16, asked: &mut Places, copies: &mut Places) {
    let silent = table.entry(index).standing == Standing::Silent;
    let place = if silent { copies } else { asked };
    if !place.contains(&index) {
      place.push(index);
    }
  }

  fn preferred(table: &Table, open: &[u16], loads: &impl Loads) -> Option<u16> {
    open
      .iter()
      .copied()
      .min_by_key(|index| loads.load(table.service(), table.entry(*index).id))
  }
}

/// Indices of a table's entries; a set of common size takes no memory of the heap.
type Places = SmallVec<[u16; 32]>;

/// The best candidates of a set, the first one first.
type Best = ArrayVec<u16, CANDIDATES>;

/// The scores of all of a table's targets for one key.
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

  /// The best of all targets that are not silent.
  fn any(&self, table: &Table) -> Option<u16> {
    let entries = table.entries().iter().zip(0..);
    entries
      .filter(|(entry, _)| entry.standing != Standing::Silent)
      .map(|(_, index)| index)
      .max_by_key(|index: &u16| self.0[usize::from(*index)])
  }

  /// The best candidates of a set, the first one first.
  fn best(&self, table: &Table, set: &[u16], fits: impl Fn(&Entry) -> bool) -> Best {
    let mut best = Best::new();
    for index in set {
      if !fits(table.entry(*index)) {
        continue;
      }
      let score = self.0[usize::from(*index)];
      let place = best
        .iter()
        .position(|other| self.0[usize::from(*other)] < score)
        .unwrap_or(best.len());
      if place < CANDIDATES {
        best.truncate(CANDIDATES - 1);
        best.insert(place, *index);
      }
    }
    best
  }
}
