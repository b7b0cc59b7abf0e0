//! Requests that may not be repeated and have an idempotency key run at the key's home. This is the
//! target that rendezvous hashing chooses for the key; its ledger decides whether the request runs.

use {
  super::{
    Shared,
    call::Call,
    handoff::{self, Mode},
    problem::Problem,
    reply::{Reply, Streamed},
    runner,
    upstream::{Answer, Failure},
  },
  crate::{
    Code, id,
    ledger::{self, Action, EarlierRuns, Event, Outcome},
    routing::{self, Hop},
  },
  bytes::BytesMut,
  std::{collections::BTreeSet, sync::Arc, time::Instant},
  tokio::sync::watch,
};

/// The maximum number of homes that are tried, one after another.
const HOMES_TRIED_MAX: usize = 3;

/// The largest answer that is buffered for all requests with the same key, in bytes. The outcome of
/// a larger one is unknown to them.
const ANSWER_BYTES_MAX: usize = 16 << 20;

/// Receives the outcome of the request with a key; none while it runs.
pub type OutcomeReceiver = watch::Receiver<Option<Outcome>>;

/// Runs a call with a key at the key's home, at most once.
pub async fn run(shared: &Arc<Shared>, call: Call, key: u128) -> Reply {
  let mut earlier = Vec::new();
  let mut ledger_lost = false;
  let mut tried = Vec::new();
  for _ in 0..HOMES_TRIED_MAX {
    let Some(home) = shared.home(key, &tried) else {
      break;
    };
    tried.push(home.target);
    if home.target == shared.settings.target {
      return run_as_home(shared, call, &earlier, ledger_lost).await;
    }
    let Some(copy) = call.try_clone() else {
      return Reply::Problem(Problem::new(Code::RequestOversized));
    };
    let mode = Mode::Home {
      earlier: earlier.clone(),
      ledger_lost,
    };
    match handoff::send(shared, home, copy, &mode).await {
      // A leaving target runs no new keys. The next home claims the key from it.
      Ok(answer) if handoff::result_code(&answer) == Some(Code::RequestKeyMoved) => {
        earlier.push(home.target);
      }
      Ok(answer) => return Reply::Streamed(Streamed::new(answer, None)),
      // The process has ended, and its ledger is lost. If it restarts, its next incarnation takes
      // that into account itself.
      Err(Failure::Refused) => ledger_lost = true,
      Err(Failure::Unreachable) => {
        return Reply::Problem(Problem::new(Code::RequestHomeUnreachable));
      }
      Err(Failure::Unknown) => {
        return Reply::Problem(Problem::new(Code::RequestOutcomeUnknown));
      }
    }
  }
  Reply::Problem(Problem::new(Code::RequestHomeUnreachable))
}

/// Runs a call with a key as the key's home. `earlier` and `ledger_lost` are those of
/// `Mode::Home`.
pub async fn run_as_home(
  shared: &Arc<Shared>,
  call: Call,
  earlier: &[id::Target],
  ledger_lost: bool,
) -> Reply {
  let Some(key) = call.key() else {
    return Reply::Problem(Problem::new(Code::RequestMalformed));
  };
  let known = shared.ledger().knows(Instant::now(), key);
  if !known && shared.is_leaving() {
    return Reply::Problem(Problem::new(Code::RequestKeyMoved));
  }
  let earlier_runs = if known {
    EarlierRuns::Clear
  } else {
    match claim_from_earlier(shared, &call, key, earlier, ledger_lost).await {
      Ok(earlier_runs) => earlier_runs,
      Err(reply) => return *reply,
    }
  };
  let event = Event::Request {
    fingerprint: call.fingerprint(),
    first: call.is_first(),
    key,
    earlier_runs,
  };
  // The receiver is created under the same lock as the decision to run.
  let (action, receiver) = shared.admit_key(key, event);
  match action {
    Action::Run => run_once(shared, call, key, receiver).await,
    Action::Wait => wait(call, receiver).await,
    Action::Replay(answer) => Reply::Buffered(answer),
    Action::Conflict => Reply::Problem(Problem::new(Code::RequestKeyReused)),
    Action::NotRun(code) => Reply::Problem(Problem::new(code)),
    Action::Nothing | Action::Unknown => Reply::Problem(Problem::new(Code::RequestOutcomeUnknown)),
  }
}

/// Claims the key from all targets that may have been its home within the repeat window, so that
/// they do not run it from now on. Fails with the reply to send if one of them may have run it.
async fn claim_from_earlier(
  shared: &Arc<Shared>,
  call: &Call,
  key: u128,
  earlier: &[id::Target],
  ledger_lost: bool,
) -> Result<EarlierRuns, Box<Reply>> {
  let mut homes = shared.earlier_homes(key);
  homes.extend(earlier.iter().copied());
  let mut earlier_runs = if ledger_lost {
    EarlierRuns::Lost
  } else {
    EarlierRuns::Clear
  };
  if homes.remove(&shared.settings.target) && shared.has_started_within_window() {
    // A previous incarnation of this target may have run it.
    earlier_runs = EarlierRuns::Lost;
  }
  for hop in hops(shared, homes) {
    match claim_from_earlier_home(shared, call, hop).await {
      Claim::Answered(answer) => {
        return Err(Box::new(Reply::Streamed(Streamed::new(answer, None))));
      }
      Claim::Lost if earlier_runs == EarlierRuns::Clear => earlier_runs = EarlierRuns::Lost,
      Claim::Clear | Claim::Lost => {}
      Claim::Unknown => {
        return Err(Box::new(Reply::Problem(Problem::new(
          Code::RequestOutcomeUnknown,
        ))));
      }
      Claim::Unreachable => earlier_runs = EarlierRuns::Unreachable,
    }
  }
  Ok(earlier_runs)
}

/// The result of claiming a key from an earlier home.
enum Claim {
  /// It has run the request; this is the stored answer.
  Answered(Answer),
  /// It has not run the key, and will not.
  Clear,
  /// Its ledger is lost: it has ended, or another process has its address.
  Lost,
  /// It may have run the request, with an unknown outcome.
  Unknown,
  /// It cannot be reached, so it may still run the key.
  Unreachable,
}

/// Asks an earlier home of the call's key to give the key up or return the answer stored for it.
async fn claim_from_earlier_home(shared: &Shared, call: &Call, hop: Hop) -> Claim {
  let Some(copy) = call.try_clone() else {
    return Claim::Unreachable;
  };
  match handoff::send(shared, hop, copy, &Mode::Claim).await {
    Ok(answer) => match handoff::result_code(&answer) {
      Some(Code::RequestKeyMoved) => Claim::Clear,
      Some(Code::FrameWrongService | Code::FrameWrongTarget) => Claim::Lost,
      Some(_) => Claim::Unknown,
      None => Claim::Answered(answer),
    },
    Err(Failure::Refused) => Claim::Lost,
    Err(Failure::Unreachable | Failure::Unknown) => Claim::Unreachable,
  }
}

/// The addresses of these targets; those that the table does not contain are left out.
fn hops(shared: &Shared, targets: BTreeSet<id::Target>) -> Vec<Hop> {
  let table = shared.table();
  let hops = targets.into_iter().filter_map(|target| {
    let entry = table.as_ref()?.get(target)?;
    Some(Hop::from(entry))
  });
  hops.collect()
}

/// Runs the call in a task of its own, so that it completes and its answer is stored even if the
/// caller cancels the request.
async fn run_once(shared: &Arc<Shared>, call: Call, key: u128, receiver: OutcomeReceiver) -> Reply {
  let deadline = call.deadline;
  let shared = Arc::clone(shared);
  tokio::spawn(async move {
    let reply = runner::run(&shared, call).await;
    let outcome = collect_outcome(reply).await;
    shared.finish_key(key, outcome);
  });
  await_outcome(deadline, receiver).await
}

async fn wait(call: Call, receiver: OutcomeReceiver) -> Reply {
  await_outcome(call.deadline, receiver).await
}

/// Waits until the deadline for the outcome and converts it to a reply.
async fn await_outcome(deadline: Instant, mut receiver: OutcomeReceiver) -> Reply {
  let outcome = receiver.wait_for(Option::is_some);
  let outcome = tokio::time::timeout_at(deadline.into(), outcome).await;
  let outcome = match &outcome {
    Ok(Ok(outcome)) => outcome.as_ref(),
    _ => None,
  };
  match outcome {
    Some(Outcome::Answered(answer)) => Reply::Buffered(answer.clone()),
    Some(Outcome::NotRun(code)) => Reply::Problem(Problem::new(*code)),
    Some(Outcome::Unknown) | None => Reply::Problem(Problem::new(Code::RequestOutcomeUnknown)),
  }
}

/// The outcome to record for a reply. An answer counts only once it is complete.
async fn collect_outcome(reply: Reply) -> Outcome {
  match reply {
    Reply::Buffered(answer) => Outcome::Answered(answer),
    Reply::Streamed(answer) => collect_answer(answer).await,
    Reply::Problem(problem) if problem.code == Code::RequestOutcomeUnknown => Outcome::Unknown,
    Reply::Problem(problem) => Outcome::NotRun(problem.code),
  }
}

async fn collect_answer(mut answer: Streamed) -> Outcome {
  let (status, headers) = answer.head();
  let mut body = BytesMut::new();
  loop {
    match answer.next_chunk().await {
      Ok(Some(chunk)) if body.len() + chunk.len() <= ANSWER_BYTES_MAX => {
        body.extend_from_slice(&chunk);
      }
      Ok(Some(_)) | Err(_) => return Outcome::Unknown,
      Ok(None) => break,
    }
  }
  Outcome::Answered(ledger::Answer {
    body: body.freeze(),
    headers: Arc::new(headers),
    status,
  })
}

/// The part of a key that rendezvous hashing uses.
pub fn rendezvous_key(key: u128) -> u64 {
  (key >> 64) as u64
}

/// The key's home among the targets of a table that have not been tried.
pub fn find(table: &routing::Table, key: u128, tried: &[id::Target]) -> Option<Hop> {
  routing::Machine::alternative(table, rendezvous_key(key), tried)
}
