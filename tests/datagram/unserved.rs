//! Services without a target that takes new flows: callers are told at once, unless the flow may be
//! open or a target may still take it.

use {
  crate::{
    balancing::{Balancer, busy, carried, feed_status, is_reset},
    plain::Packet,
    support::{
      Agent, Harness, Sent, agent, carry, configured, configured_weighted, flow, listed, unlisted,
      update,
    },
  },
  assert_matches::assert_matches,
  fallwell::{
    config::Presence,
    datagram::{
      Frame, Load, Overload, Tuning,
      frame::{Handling, Refusal},
    },
  },
  std::time::Duration,
};

/// Longer than a removed target is still used.
const PAST_GRACE: Duration = Duration::from_secs(3);

fn ms(time: u64) -> Duration {
  Duration::from_millis(time)
}

/// A balancer with overload control and one target, of service `a`.
fn balancer() -> Balancer {
  let overload = Overload { enabled: true };
  let tuning = Tuning {
    overload,
    ..Tuning::default()
  };
  let mut balancer = Harness::tuned(1, &tuning);
  let records = [
    configured(1, 1, &[(1, "a")]),
    listed(2, "up-11", 11, "a", Presence::Live),
  ];
  balancer.platform(update(None, 2, &records));
  feed_status(&mut balancer, 11, 1, Load::default());
  balancer
}

/// The same, after its target was removed from the target list.
fn without_target() -> Balancer {
  let mut balancer = balancer();
  balancer.platform(update(Some(2), 3, &[unlisted(3, "up-11")]));
  balancer
}

/// Confirms the target list as it is.
fn confirm(balancer: &mut Balancer) {
  balancer.platform(update(Some(3), 3, &[]));
}

fn open(balancer: &mut Balancer, attempt: u32) -> Vec<Sent> {
  balancer.packet(Packet::open(flow(1, 1), attempt))
}

fn refuse(balancer: &mut Balancer, refusal: Refusal) -> Vec<Sent> {
  let refused = Frame::Refused(flow(1, 1), refusal, Load::default());
  balancer.frame(11, &refused, &[])
}

/// Lets time pass in small steps. Returns what was sent.
fn run(balancer: &mut Balancer, time: Duration) -> Vec<Sent> {
  let mut sent = Vec::new();
  for _ in 0..time.as_millis() / 5 {
    sent.extend(balancer.pass(ms(5)));
  }
  sent
}

/// Guards against a caller that waits without a word for a service that has no target.
#[test]
fn a_new_flow_of_a_service_without_targets_is_reset_at_once() {
  let mut balancer = without_target();
  run(&mut balancer, PAST_GRACE);
  confirm(&mut balancer);
  let sent = open(&mut balancer, 0);
  assert!(is_reset(&sent, flow(1, 1), 0), "{sent:?}");
}

/// Guards against the reset of a flow for which a target may be there.
#[test]
fn a_new_flow_waits_while_the_target_list_may_be_out_of_date() {
  let mut balancer = without_target();
  run(&mut balancer, PAST_GRACE);
  let sent = open(&mut balancer, 0);
  assert!(!is_reset(&sent, flow(1, 1), 0), "{sent:?}");
  let live = listed(4, "up-12", 12, "a", Presence::Live);
  balancer.platform(update(Some(3), 4, &[live]));
  feed_status(&mut balancer, 12, 1, Load::default());
  let sent = run(&mut balancer, ms(10));
  assert_eq!(carried(&sent), [(12, Handling::Open)]);
}

/// Guards against a flow that goes back and forth between the queue and a target that is leaving.
#[test]
fn a_flow_that_the_last_target_refuses_as_leaving_is_reset_at_once() {
  let mut balancer = without_target();
  assert_eq!(carried(&open(&mut balancer, 0)), [(11, Handling::Open)]);
  let sent = refuse(&mut balancer, Refusal::Leaving);
  assert!(is_reset(&sent, flow(1, 1), 0), "{sent:?}");
  let sent = balancer.packet(Packet::open(flow(2, 1), 0));
  assert!(is_reset(&sent, flow(2, 1), 0), "{sent:?}");
}

/// Guards against flows that stay queued without a word after their service has lost its targets.
#[test]
fn queued_flows_are_reset_once_no_target_is_left() {
  let mut balancer = balancer();
  feed_status(&mut balancer, 11, 1, busy(24));
  let sent = open(&mut balancer, 0);
  assert_eq!(carried(&sent), []);
  let leaving = listed(3, "up-11", 11, "a", Presence::Leaving);
  balancer.platform(update(Some(2), 3, &[leaving]));
  let sent = run(&mut balancer, ms(10));
  assert!(is_reset(&sent, flow(1, 1), 0), "{sent:?}");
}

/// Guards against the rejection of queued flows that another service of their route can take.
#[test]
fn queued_flows_move_to_another_service_of_their_route() {
  let mut balancer = balancer();
  // Service `b` has no target yet, so that all flows go to `a`.
  let routes = [(1, vec![("a", 1), ("b", 1)])];
  let record = configured_weighted(3, 2, &routes);
  balancer.platform(update(Some(2), 3, &[record]));
  feed_status(&mut balancer, 11, 1, busy(24));
  let sent = open(&mut balancer, 0);
  assert_eq!(carried(&sent), []);
  let records = [
    listed(4, "up-21", 21, "b", Presence::Live),
    listed(5, "up-11", 11, "a", Presence::Leaving),
  ];
  balancer.platform(update(Some(3), 5, &records));
  feed_status(&mut balancer, 21, 1, Load::default());
  let sent = run(&mut balancer, ms(10));
  assert_eq!(carried(&sent), [(21, Handling::Open)]);
}

/// Guards against a rejected flow whose caller is never told, since a retransmission could have
/// gone to another balancer when it was rejected.
#[test]
fn a_rejected_flow_is_reset_when_its_retransmission_comes() {
  let mut balancer = without_target();
  open(&mut balancer, 0);
  run(&mut balancer, ms(30));
  balancer.now += ms(120);
  let sent = refuse(&mut balancer, Refusal::Leaving);
  assert!(!is_reset(&sent, flow(1, 1), 0), "{sent:?}");
  run(&mut balancer, ms(50));
  let sent = open(&mut balancer, 1);
  assert!(is_reset(&sent, flow(1, 1), 0), "{sent:?}");
}

/// Guards against the reset of a flow that another balancer has had opened.
#[test]
fn a_rejected_flow_is_not_reset_if_a_retransmission_is_missing() {
  let mut balancer = without_target();
  open(&mut balancer, 0);
  run(&mut balancer, ms(30));
  balancer.now += ms(120);
  refuse(&mut balancer, Refusal::Leaving);
  run(&mut balancer, ms(450));
  let sent = open(&mut balancer, 2);
  assert!(!is_reset(&sent, flow(1, 1), 0), "{sent:?}");
}

/// Guards against a flow that stays without a word since its retransmission came while the first
/// packet was on its way to a target.
#[test]
fn a_retransmitted_flow_that_the_last_target_refuses_as_leaving_is_reset() {
  let mut balancer = without_target();
  open(&mut balancer, 0);
  // The first packet is not answered in time.
  run(&mut balancer, ms(200));
  let sent = open(&mut balancer, 1);
  assert_eq!(carried(&sent), [(11, Handling::Open)]);
  let sent = refuse(&mut balancer, Refusal::Leaving);
  assert!(is_reset(&sent, flow(1, 1), 0), "{sent:?}");
}

/// Guards against the reset of a flow that a target without an answer may have opened.
#[test]
fn a_flow_that_another_target_may_have_opened_is_not_reset() {
  let mut balancer = balancer();
  let live = listed(3, "up-12", 12, "a", Presence::Live);
  balancer.platform(update(Some(2), 3, &[live]));
  feed_status(&mut balancer, 12, 1, Load::default());
  let (first, _) = carried(&open(&mut balancer, 0))[0];
  let sent = run(&mut balancer, ms(60));
  let (second, _) = carried(&sent)[0];
  assert_ne!(first, second);
  let leaving = |revision, host: u8| {
    let id = format!("up-{host}");
    listed(revision, &id, host, "a", Presence::Leaving)
  };
  let records = [leaving(4, 11), leaving(5, 12)];
  balancer.platform(update(Some(3), 5, &records));
  let refused = Frame::Refused(flow(1, 1), Refusal::Leaving, Load::default());
  let sent = balancer.frame(second, &refused, &[]);
  assert!(!is_reset(&sent, flow(1, 1), 0), "{sent:?}");
}

/// Guards against hundreds of tries of one flow at a target that refuses it.
#[test]
fn a_queued_flow_is_not_sent_again_at_once_to_a_target_that_refuses_it() {
  for refusal in [
    Refusal::Down,
    Refusal::Full,
    Refusal::Leaving,
    Refusal::Service,
  ] {
    let mut balancer = balancer();
    let mut sent = open(&mut balancer, 0);
    let mut tries = 0;
    for _ in 0..40 {
      if !carried(&sent).is_empty() {
        tries += 1;
        refuse(&mut balancer, refusal);
      }
      sent = balancer.pass(ms(5));
    }
    assert!((2..=9).contains(&tries), "{refusal:?}: {tries}");
  }
}

/// Guards against a refusal that a balancer would take for proof that a flow is not open.
#[test]
fn a_leaving_agent_does_not_refuse_a_flow_that_it_has_opened() {
  let mut agent: Agent = agent();
  let packet = Packet::open(flow(1, 1), 0).write();
  agent.frame(1, &carry(Handling::Open), &packet);
  let leaving = listed(3, "up", 9, "a", Presence::Leaving);
  agent.platform(update(Some(2), 3, &[leaving]));
  let packet = Packet::open(flow(1, 1), 1).write();
  let sent = agent.frame(1, &carry(Handling::Open), &packet);
  assert_matches!(&sent[..], [Sent::Upstream(_)]);
}
