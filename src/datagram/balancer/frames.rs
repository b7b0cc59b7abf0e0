//! Handles frames of agents and other balancers, and updates of the platform's records.

use {
  super::{machine::Machine, selection::Report, targets::IncarnationChange},
  crate::{
    Code,
    datagram::{
      Change, Codec, Frame, Origin, Outbox, Update,
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
    self.note_stall(now);
    self.targets.note_frame(now);
    let (frame, packet) = Frame::decode(bytes)?;
    match frame {
      Frame::HistoryRequest => self.gossip.send_history(now, from, true, out),
      Frame::Absent {
        flows, lost: true, ..
      } => self.reset_lost_flows(now, from, &flows, packet, out),
      Frame::Absent { flows, known, .. } => {
        self.record_denials(now, from, &flows, &known, packet, out);
      }
      Frame::Query { .. }
      | Frame::Backlog { .. }
      | Frame::Carry { .. }
      | Frame::FanOut { .. }
      | Frame::Restore { .. }
      | Frame::Test { .. } => return Err(Code::FrameWrongTarget),
      Frame::Foreign { flows, service } => self.record_foreign(now, from, &flows, service, out),
      Frame::Found { flow, service } => self.complete_search(now, from, flow, service, out),
      Frame::Grant { load, priority } => self.accept_grant(now, from, load, priority, out),
      Frame::Handover { flows, part, parts } => {
        let handover = self.handovers.entry(from).or_default();
        handover.add_part(now, part, parts, flows);
        self.restarts.begin(now, from);
      }
      Frame::History(history) => self.take_history(now, from, &history, out),
      Frame::Update(update) => self.take_update(now, Origin::Peer(from), update, out),
      Frame::Opened(flow, load) => self.complete_opening(now, from, flow, load),
      Frame::Refused(flow, refusal, load) => {
        self.retry_refused(now, from, flow, refusal, load, out);
      }
      Frame::Status(status) => self.take_status(now, from, &status, out),
      Frame::Unsure { flows, service } => self.record_unsure(now, from, &flows, service, out),
    }
    Ok(())
  }

  pub(super) fn take_status(
    &mut self,
    now: Instant,
    from: SocketAddrV4,
    status: &Status,
    out: &mut Outbox,
  ) {
    self.gossip.handle_status(now, from, status);
    self.gossip.request_history(now, from, out);
    self.record_report(now, from, status);
    let Role::Agent { load, .. } = status.role else {
      return;
    };
    let change = self.targets.record_status(now, from, status, load);
    if load.waiting > 0 {
      self.record_answer(from);
    }
    if change == IncarnationChange::Restarted {
      self.restore_flows(now, from, out);
    }
    if change != IncarnationChange::Same {
      self.release_buffered(now, from, out);
      self.query_restarted(now, from);
    }
  }

  /// Records which upstream a process reports as its own.
  fn record_report(&mut self, now: Instant, from: SocketAddrV4, status: &Status) {
    let upstream = match status.role {
      Role::Agent { upstream, .. } => Some(upstream),
      Role::Balancer => None,
    };
    let report = Report {
      at: now,
      synced: status.synced,
      upstream,
    };
    if self.targets.record_report(from, report) {
      self.update_targets(now);
    }
  }

  pub(super) fn take_update(
    &mut self,
    now: Instant,
    origin: Origin,
    update: Update,
    out: &mut Outbox,
  ) {
    let change = self.gossip.update(now, origin, update, out);
    self.apply_change(now, &change);
    if !change.is_empty() {
      self.denied.append(&mut self.unproven);
    }
    self.conclude_denied(now, out);
  }

  pub(super) fn apply_change(&mut self, now: Instant, change: &Change) {
    if change.evacuations {
      let listed = self.gossip.catalog().evacuations();
      let from = now
        + self
          .gossip
          .evacuation_left()
          .mul_f64(self.evacuation_fraction);
      self.targets.evacuations.update(listed, from);
    }
    if !change.is_empty() {
      self.update_targets(now);
    }
    if change.configuration {
      self.update_lowest_priorities();
    }
  }

  /// Replaces the targets by those of the catalog.
  pub(super) fn update_targets(&mut self, now: Instant) {
    self.targets.update(self.gossip.catalog());
    if self.gossip.is_full_mesh() && self.targets.has_uncontacted() {
      // Agents that do not answer the status count as lost sooner.
      self.gossip.hasten_status(now);
    }
  }

  fn update_lowest_priorities(&mut self) {
    self.lowest_priorities.clear();
    let configuration = self.gossip.catalog().configuration();
    for route in configuration
      .into_iter()
      .flat_map(|configuration| configuration.routes.values())
    {
      for backend in route.backends.weighted() {
        let lowest = self
          .lowest_priorities
          .entry(backend.service.clone())
          .or_default();
        *lowest = route.priority.max(*lowest);
      }
    }
  }
}
