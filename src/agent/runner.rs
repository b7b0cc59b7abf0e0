use {
  super::{
    Shared,
    call::Call,
    handoff::{self, Mode},
    problem::Problem,
    reply::{Reply, Streamed},
    upstream::{self, Failure},
  },
  crate::{Code, id, routing::Hop},
  rand::seq::SliceRandom,
  std::{hash::Hasher, net::SocketAddr, sync::Arc, time::Duration},
  xxhash_rust::xxh3::Xxh3,
};

/// The maximum number of peers to which a request is offered, one after another.
const PEERS_TRIED_MAX: usize = 2;

/// How long a peer that is busy or leaving is avoided; after a failure, a multiple of this.
const BUSY_BACKOFF: Duration = Duration::from_millis(20);

/// Runs a call at this agent's upstream or at a peer with a free slot. If the upstream fails, a
/// repeatable call is retried once at a peer, within the budget of retries.
pub async fn run(shared: &Arc<Shared>, call: Call) -> Reply {
  shared.budget().add_attempt();
  let retry = if call.route.repeatable {
    call.try_clone()
  } else {
    None
  };
  let reply = run_once(shared, call).await;
  let Some(retry) = retry else {
    return reply;
  };
  if !is_retryable(&reply) || !shared.budget().take_retry() {
    return reply;
  }
  shared.counter.add("requests.retried", 1);
  match hand_off_to_peers(shared, &retry).await {
    Some(retried) => retried,
    None => reply,
  }
}

/// Runs a call that a peer handed off, if a slot is free now.
pub async fn run_handed_off(shared: &Arc<Shared>, call: Call) -> Reply {
  if shared.is_leaving() {
    return Reply::Problem(Problem::new(Code::RequestTargetLeaving));
  }
  run_local(shared, call, false).await
}

/// Runs a call without retries. A leaving agent hands it off or refuses it.
async fn run_once(shared: &Arc<Shared>, call: Call) -> Reply {
  let leaving = shared.is_leaving();
  if !leaving && (call.local_only || shared.slots.is_free()) {
    return run_local(shared, call, true).await;
  }
  if !call.local_only
    && let Some(reply) = hand_off_to_peers(shared, &call).await
  {
    // A feed takes no slot and is never rejected, so that its caller is not expected back for it.
    if !call.route.feed {
      shared.slots.note_hand_off(hash_caller(call.caller));
    }
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

/// Runs a call at this agent's upstream. It waits for a slot only if `may_wait` is set.
async fn run_local(shared: &Arc<Shared>, call: Call, may_wait: bool) -> Reply {
  let mut slot = None;
  if !call.route.feed {
    let caller = hash_caller(call.caller);
    match shared.slots.acquire(caller, call.deadline, may_wait).await {
      Ok(entered) => slot = Some(entered),
      Err(retry_after) => return Reply::Problem(Problem::busy(retry_after)),
    }
  }
  if call.remaining().is_zero() {
    return Reply::Problem(Problem::new(Code::RequestDeadline));
  }
  let weight = call.route.weight;
  shared.add_sent_weight(weight);
  match upstream::send(shared.settings.upstream, None, call).await {
    Ok(answer) => Reply::Streamed(Streamed::new(answer, slot)),
    Err(Failure::Refused | Failure::Unreachable) => {
      shared.subtract_sent_weight(weight);
      Reply::Problem(Problem::new(Code::RequestUpstreamUnreachable))
    }
    Err(Failure::Unknown) => Reply::Problem(Problem::new(Code::RequestOutcomeUnknown)),
  }
}

/// Hands copies of a call off to peers, one after another, until one runs it; none if no peer does.
async fn hand_off_to_peers(shared: &Arc<Shared>, call: &Call) -> Option<Reply> {
  for peer in candidate_peers(shared).into_iter().take(PEERS_TRIED_MAX) {
    if let Some(reply) = hand_off(shared, peer, call.try_clone()?).await {
      return Some(reply);
    }
  }
  None
}

/// Hands a call off to a peer; none if the peer has certainly not run it.
async fn hand_off(shared: &Arc<Shared>, peer: Hop, call: Call) -> Option<Reply> {
  match handoff::send(shared, peer, call, &Mode::Run).await {
    Ok(answer) => match handoff::result_code(&answer) {
      Some(Code::RequestSlotsFull | Code::RequestTargetLeaving) => {
        shared.avoid(peer.target, BUSY_BACKOFF);
        None
      }
      Some(Code::RequestUpstreamUnreachable | Code::RequestDeadline) => {
        shared.avoid(peer.target, BUSY_BACKOFF * 10);
        None
      }
      _ => {
        shared.counter.add("requests.handed_off", 1);
        Some(Reply::Streamed(Streamed::new(answer, None)))
      }
    },
    Err(Failure::Refused | Failure::Unreachable) => {
      shared.avoid(peer.target, BUSY_BACKOFF * 50);
      None
    }
    Err(Failure::Unknown) => Some(Reply::Problem(Problem::new(Code::RequestOutcomeUnknown))),
  }
}

/// The other targets that are neither leaving nor avoided, in random order.
fn candidate_peers(shared: &Shared) -> Vec<Hop> {
  let Some(service) = shared.service() else {
    return Vec::new();
  };
  let own: id::Target = shared.settings.target;
  let others = service
    .targets
    .iter()
    .filter(|target| target.id != own && !target.leaving && !shared.is_avoided(target.id));
  let mut peers = others
    .map(|target| Hop {
      address: target.agent,
      target: target.id,
    })
    .collect::<Vec<_>>();
  peers.shuffle(&mut rand::rng());
  peers
}

/// Whether the upstream failed and another may succeed. Requests refused for lack of a slot are
/// excluded, since they have already been offered to peers.
fn is_retryable(reply: &Reply) -> bool {
  match reply {
    Reply::Buffered(_) => false,
    Reply::Streamed(answer) => matches!(answer.head().0.as_u16(), 502..=504),
    Reply::Problem(problem) => matches!(
      problem.code,
      Code::RequestOutcomeUnknown | Code::RequestUpstreamUnreachable
    ),
  }
}

fn hash_caller(address: SocketAddr) -> u64 {
  let mut hasher = Xxh3::new();
  hasher.write(address.to_string().as_bytes());
  hasher.finish()
}
