use {
  super::{
    Shared,
    call::Call,
    handoff::{self, Mode},
    problem::Problem,
    reply::{Live, Reply},
    upstream::{self, Failure},
  },
  crate::{Code, id, routing::Hop},
  rand::seq::SliceRandom,
  std::{hash::Hasher, net::SocketAddr, sync::Arc, time::Duration},
  xxhash_rust::xxh3::Xxh3,
};

/// How many peers are asked to run a request before it waits here.
const PEERS_ASKED: usize = 2;

/// How long a peer that had no free slot is not asked again.
const BUSY: Duration = Duration::from_millis(20);

/// Runs a call once, here or at a peer that has a free slot; one that may be repeated is tried
/// again elsewhere when its upstream fails, within the budget.
pub async fn run(shared: &Arc<Shared>, call: Call) -> Reply {
  shared.budget().add_attempt();
  let again = if call.route.repeatable {
    call.copy()
  } else {
    None
  };
  let reply = run_once(shared, call).await;
  let Some(again) = again else {
    return reply;
  };
  if !has_failed(&reply) || !shared.budget().take_retry() {
    return reply;
  }
  shared.counter.add("requests.retried", 1);
  match hand_to_peers(shared, &again).await {
    Some(other) => other,
    None => reply,
  }
}

/// Runs a call that a peer has handed over: here and now, or not at all.
pub async fn run_here(shared: &Arc<Shared>, call: Call) -> Reply {
  if shared.is_leaving() {
    return Reply::Problem(Problem::new(Code::RequestTargetLeaving));
  }
  run_local(shared, call, false).await
}

async fn run_once(shared: &Arc<Shared>, call: Call) -> Reply {
  let leaving = shared.is_leaving();
  if !leaving && (call.stays || shared.slots.is_free()) {
    return run_local(shared, call, true).await;
  }
  if !call.stays
    && let Some(reply) = hand_to_peers(shared, &call).await
  {
    return reply;
  }
  if leaving {
    return Reply::Problem(Problem {
      retry_after: 0,
      ..Problem::new(Code::RequestTargetLeaving)
    });
  }
  run_local(shared, call, true).await
}

async fn run_local(shared: &Arc<Shared>, call: Call, waits: bool) -> Reply {
  let mut slot = None;
  if !call.route.feed {
    let caller = caller(call.caller);
    match shared.slots.enter(caller, call.start_by, waits).await {
      Ok(entered) => slot = Some(entered),
      Err(come_back) => return Reply::Problem(Problem::busy(come_back)),
    }
  }
  if call.remaining().is_zero() {
    return Reply::Problem(Problem::new(Code::RequestDeadline));
  }
  let weight = call.route.weight;
  shared.count_work(weight);
  match upstream::send(shared.settings.upstream, None, call).await {
    Ok(answer) => Reply::Live(Live::new(answer, slot)),
    Err(Failure::Dead | Failure::Unreachable) => {
      shared.uncount_work(weight);
      Reply::Problem(Problem::new(Code::RequestUpstreamUnreachable))
    }
    Err(Failure::Unknown) => Reply::Problem(Problem::new(Code::RequestOutcomeUnknown)),
  }
}

/// Hands copies of a call to peers, one after another, until one runs it; none when none does.
async fn hand_to_peers(shared: &Arc<Shared>, call: &Call) -> Option<Reply> {
  for peer in peers(shared).into_iter().take(PEERS_ASKED) {
    if let Some(reply) = hand_off(shared, peer, call.copy()?).await {
      return Some(reply);
    }
  }
  None
}

/// Hands a call to a peer; none when that peer certainly does not run it.
async fn hand_off(shared: &Arc<Shared>, peer: Hop, call: Call) -> Option<Reply> {
  match handoff::send(shared, peer, call, &Mode::Run).await {
    Ok(answer) => match handoff::code(&answer) {
      Some(Code::RequestSlotsFull | Code::RequestTargetLeaving) => {
        shared.avoid(peer.target, BUSY);
        None
      }
      Some(Code::RequestUpstreamUnreachable | Code::RequestDeadline) => {
        shared.avoid(peer.target, BUSY * 10);
        None
      }
      _ => {
        shared.counter.add("requests.handed_off", 1);
        Some(Reply::Live(Live::new(answer, None)))
      }
    },
    Err(Failure::Dead | Failure::Unreachable) => {
      shared.avoid(peer.target, BUSY * 50);
      None
    }
    Err(Failure::Unknown) => Some(Reply::Problem(Problem::new(Code::RequestOutcomeUnknown))),
  }
}

/// The other targets that may take work, in random order, without those that were busy just now.
fn peers(shared: &Shared) -> Vec<Hop> {
  let Some(service) = shared.service() else {
    return Vec::new();
  };
  let own: id::Target = shared.settings.target;
  let others = service
    .targets
    .iter()
    .filter(|target| target.id != own && !target.leaving && !shared.avoids(target.id));
  let mut peers = others
    .map(|target| Hop {
      address: target.agent,
      target: target.id,
    })
    .collect::<Vec<_>>();
  peers.shuffle(&mut rand::rng());
  peers
}

/// Whether the upstream has failed in a way that another may not. What was shed has been offered to
/// peers already.
fn has_failed(reply: &Reply) -> bool {
  match reply {
    Reply::Held(_) => false,
    Reply::Live(live) => matches!(live.head().0.as_u16(), 502..=504),
    Reply::Problem(problem) => matches!(
      problem.code,
      Code::RequestOutcomeUnknown | Code::RequestUpstreamUnreachable
    ),
  }
}

fn caller(address: SocketAddr) -> u64 {
  let mut hasher = Xxh3::new();
  hasher.write(address.to_string().as_bytes());
  hasher.finish()
}
