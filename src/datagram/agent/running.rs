use {
  crate::datagram::{Flow, uneven::Kind},
  std::{
    collections::{BTreeSet, HashMap},
    time::Instant,
  },
};

/// A request that the upstream has not answered yet.
#[derive(Clone, Copy, Debug)]
pub struct Request {
  /// How many requests were in flight when it arrived.
  pub ahead: u16,
  /// Its kind of work.
  pub kind: Kind,
  /// When its newest data arrived.
  pub received: Instant,
}

/// The requests that the upstream has not answered yet, by flow and by age.
#[derive(Debug, Default)]
pub struct Running {
  by_age: BTreeSet<(Instant, Flow)>,
  by_flow: HashMap<Flow, Request>,
}

impl Running {
  /// Adds a request; further data of it replaces its time.
  pub fn begin(&mut self, now: Instant, flow: Flow, ahead: u16) {
    self.end(&flow);
    let request = Request {
      ahead,
      kind: Kind::from(flow.route),
      received: now,
    };
    self.by_age.insert((now, flow));
    self.by_flow.insert(flow, request);
  }

  /// Removes the request of a flow, answered or not.
  pub fn end(&mut self, flow: &Flow) {
    if let Some(request) = self.by_flow.remove(flow) {
      self.by_age.remove(&(request.received, *flow));
    }
  }

  /// The requests, the oldest first.
  pub fn oldest(&self) -> impl Iterator<Item = &Request> {
    let flows = self.by_age.iter();
    flows.filter_map(|(_, flow)| self.by_flow.get(flow))
  }
}
