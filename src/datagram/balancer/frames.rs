//! What a balancer does with the frames and the news of others.

use {
  super::{machine::Machine, targets::Run},
  crate::{
    Code,
    datagram::{
      Change, Codec, Frame, News, Origin, Outbox,
      frame::{Role, Status},
    },
  },
  std::{net::SocketAddrV4, time::Instant},
};

impl<C: Codec> Machine<C> {
  pub(super) fn take_frame(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    bytes: &[u8],
    out: &mut Outbox,
  ) -> Result<(), Code> {
    self.wake(now);
    let (frame, packet) = Frame::decode(bytes)?;
    match frame {
      Frame::AskPast => self.tell_past(now, from, out),
      Frame::Absent {
        flows, lost: true, ..
      } => self.lost(now, from, &flows, packet, out),
      Frame::Absent { flows, known, .. } => self.absent(now, from, &flows, &known, packet, out),
      Frame::Ask { .. }
      | Frame::Backlog { .. }
      | Frame::Carry { .. }
      | Frame::Fan { .. }
      | Frame::Held { .. }
      | Frame::Try { .. } => return Err(Code::FrameWrongTarget),
      Frame::Found { flow, service } => self.found(now, from, flow, service, out),
      Frame::Grant(load) => self.granted(now, from, load, out),
      Frame::Handover { flows, part, parts } => {
        let handed = self.handed.entry(from).or_default();
        handed.take(now, part, parts, flows);
        self.absences.begin(now, from);
      }
      Frame::Past {
        known,
        led,
        part,
        parts,
        past,
      } => {
        self.targets.remember(now, &past);
        self.spread.remember(now, &led);
        self.history.take(now, from, part, parts, known);
        self.conclude_answered(now, out);
      }
      Frame::News(news) => self.take_news(now, Origin::Peer(from), news, out),
      Frame::Opened(flow, load) => self.opened(now, from, flow, load),
      Frame::Refused(flow, refusal, load) => {
        self.refused(now, from, flow, refusal, load, out);
      }
      Frame::Status(status) => self.status(now, from, &status, out),
      Frame::Unsure { flows, service } => self.unsure(now, from, &flows, service, out),
    }
    Ok(())
  }

  pub(super) fn status(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    status: &Status,
    out: &mut Outbox,
  ) {
    self.spread.status(now, from, status);
    let Role::Agent(load) = status.role else {
      self.ask_past(now, from, out);
      return;
    };
    let run = self.targets.status(now, from, status, load);
    if run == Run::Next {
      self.remind(now, from, out);
    }
    if run != Run::Known {
      self.returned(now, from, out);
      self.ask_new(now, from);
    }
  }

  pub(super) fn take_news(&mut self, now: Instant, origin: Origin, news: News, out: &mut Outbox) {
    let change = self.spread.news(now, origin, news, out);
    self.changed(now, &change);
    self.conclude_answered(now, out);
  }

  pub(super) fn changed(&mut self, now: Instant, change: &Change) {
    if change.closures {
      let listed = self.spread.catalog().closures();
      let from = now + self.spread.closing_left().mul_f64(self.closing_part);
      self.targets.closures.update(listed, from);
    }
    if !change.is_empty() {
      self.targets.update(self.spread.catalog());
    }
    if change.configuration {
      self.rank_routes();
    }
  }

  fn rank_routes(&mut self) {
    self.lowest.clear();
    let configuration = self.spread.catalog().configuration();
    for route in configuration
      .into_iter()
      .flat_map(|held| held.routes.values())
    {
      for backend in route.backends.taking() {
        let lowest = self.lowest.entry(backend.service.clone()).or_default();
        *lowest = route.priority.max(*lowest);
      }
    }
  }
}
