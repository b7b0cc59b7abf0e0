use crate::{counter::Counter, datagram::balancer::FlowClass};

/// The number of priorities that are counted separately; lower ones count as the last of them.
const PRIORITIES: usize = 8;

/// What happened to a flow at the admission queue.
#[derive(Clone, Copy, Debug)]
pub enum Outcome {
  /// It arrived, and is then queued or rejected.
  Arrived,
  /// A more urgent flow took its place.
  Displaced,
  /// Its caller's patience was over.
  Expired,
  /// It was placed by a grant; it counts as placed too.
  Granted,
  /// It was sent to a target.
  Placed,
  /// It was rejected because it could not be served.
  Rejected,
}

/// One name for each priority.
macro_rules! names {
  ($name:literal) => {
    [
      concat!($name, ".0"),
      concat!($name, ".1"),
      concat!($name, ".2"),
      concat!($name, ".3"),
      concat!($name, ".4"),
      concat!($name, ".5"),
      concat!($name, ".6"),
      concat!($name, ".7"),
    ]
  };
}

impl Outcome {
  /// Counts a flow of a class.
  pub fn count(self, counter: &Counter, class: &FlowClass) {
    counter.add(self.names()[index(class)], 1);
  }

  fn names(self) -> [&'static str; PRIORITIES] {
    match self {
      Self::Arrived => names!("queue.arrived"),
      Self::Displaced => names!("queue.displaced"),
      Self::Expired => names!("queue.expired"),
      Self::Granted => names!("queue.granted"),
      Self::Placed => names!("queue.placed"),
      Self::Rejected => names!("queue.rejected"),
    }
  }
}

/// The name of the histogram of the times that flows of a class waited until they were placed.
pub fn wait_name(class: &FlowClass) -> &'static str {
  names!("wait")[index(class)]
}

fn index(class: &FlowClass) -> usize {
  usize::from(class.priority).min(PRIORITIES - 1)
}
