use {
  super::bid::Bid,
  smallvec::SmallVec,
  std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
  },
};

/// One of this many grants goes to a lower class while a higher one waits. An upstream of 2 slots and
/// 47 ms takes 42 requests a second, so that the lower classes get one each 190 ms: the rates that
/// balancers keep over 700 ms stay known.
const LOWER_INTERVAL: u8 = 8;

/// Chooses the class and the balancer that get the next free slot.
///
/// Between classes, the highest priority goes first, except for one grant in `LOWER_INTERVAL`.
/// Between balancers of a class, it is a smooth weighted round robin.
#[derive(Debug, Default)]
pub struct Schedule {
  /// The grants that each balancer is owed in a class: its shares of the grants that it competed
  /// for, less those that it got. Counted in grants and not in weights, so that a balancer whose
  /// queue was long once owes no more for it than one grant.
  credits: BTreeMap<(u8, SocketAddrV4), f64>,
  /// How many grants the highest class has got since a lower one had its turn.
  higher: u8,
  /// The number of grants.
  number: u64,
  /// The number of the grant at which each waiting class last got a slot, or else began to wait.
  since: BTreeMap<u8, u64>,
}

impl Schedule {
  /// The balancer and the class that get the next slot; none where no balancer wants one. `bids` has
  /// one entry for each class of each balancer: one that is missing has lost its place.
  pub fn next(&mut self, bids: &[Bid]) -> Option<(SocketAddrV4, u8)> {
    let priority = self.choose_class(bids)?;
    let balancer = self.choose_balancer(bids, priority)?;
    self.number += 1;
    self.since.insert(priority, self.number);
    Some((balancer, priority))
  }

  /// The class that gets the next slot; none where no class waits.
  fn choose_class(&mut self, bids: &[Bid]) -> Option<u8> {
    let waiting = bids.iter().filter(|bid| bid.wants());
    let waiting = waiting.map(|bid| bid.priority).collect::<BTreeSet<_>>();
    self.since.retain(|priority, _| waiting.contains(priority));
    for priority in &waiting {
      self.since.entry(*priority).or_insert(self.number);
    }
    let highest = *waiting.first()?;
    let lower = waiting.iter().filter(|priority| **priority != highest);
    let Some(longest) = lower.min_by_key(|priority| self.since.get(priority)) else {
      return Some(highest);
    };
    self.higher += 1;
    if self.higher < LOWER_INTERVAL {
      return Some(highest);
    }
    self.higher = 0;
    Some(*longest)
  }

  /// The balancer of a class that gets the next slot: the one that is owed most after each was
  /// credited with its share.
  fn choose_balancer(&mut self, bids: &[Bid], priority: u8) -> Option<SocketAddrV4> {
    let own = bids.iter().filter(|bid| bid.priority == priority);
    self.drop_credits(bids, priority);
    let mut shares = own
      .filter(|bid| bid.wants())
      .map(|bid| (bid.balancer, f64::from(bid.weight())))
      .collect::<SmallVec<[(SocketAddrV4, f64); 32]>>();
    let mut total = shares.iter().map(|(_, weight)| weight).sum::<f64>();
    if total == 0.0 {
      // Each caller has a slot already: further flows of the same callers get the free ones.
      total = shares.len() as f64;
      shares.iter_mut().for_each(|(_, weight)| *weight = 1.0);
    }
    let mut best: Option<(f64, SocketAddrV4)> = None;
    for (balancer, weight) in shares.into_iter().filter(|(_, weight)| *weight > 0.0) {
      let credit = self.credits.entry((priority, balancer)).or_default();
      *credit += weight / total;
      if best.is_none_or(|(most, _)| *credit > most) {
        best = Some((*credit, balancer));
      }
    }
    let (_, balancer) = best?;
    *self.credits.entry((priority, balancer)).or_default() -= 1.0;
    Some(balancer)
  }

  /// Drops the credits of balancers that have no flows of this class any more, and those of classes
  /// that no longer wait once there are more credits than bids.
  fn drop_credits(&mut self, bids: &[Bid], priority: u8) {
    let is_full = self.credits.len() > bids.len();
    let present = bids
      .iter()
      .filter(|bid| is_full || bid.priority == priority);
    let present = present
      .map(|bid| (bid.priority, bid.balancer))
      .collect::<BTreeSet<_>>();
    self
      .credits
      .retain(|key, _| (!is_full && key.0 != priority) || present.contains(key));
  }
}
