use {
  super::{
    Shared,
    call::Call,
    handoff::{self, Mode},
    problem::Problem,
    reply::{Live, Reply},
    runner,
    upstream::{Answer, Failure},
  },
  crate::{
    Code, id,
    ledger::{self, Action, Event, Outcome, Past},
    routing::{self, Hop},
  },
  bytes::BytesMut,
  std::{collections::BTreeSet, sync::Arc, time::Instant},
  tokio::sync::watch,
};

/// How many homes are tried, one after another.
const HOMES_MAX: usize = 3;

/// The largest answer of a request with a key, in bytes.
const ANSWER_MAX: usize = 16 << 20;

/// Where those that wait for a key's answer look; none while it runs.
pub type Waiters = watch::Receiver<Option<Outcome>>;

/// Runs a call with a key at the key's home, at most once.
pub async fn run(shared: &Arc<Shared>, call: Call, key: u128) -> Reply {
  let mut earlier = Vec::new();
  let mut lost = false;
  let mut tried = Vec::new();
  for _ in 0..HOMES_MAX {
    let Some(home) = shared.home(key, &tried) else {
      break;
    };
    tried.push(home.target);
    if home.target == shared.settings.target {
      return run_here(shared, call, &earlier, lost).await;
    }
    let Some(copy) = call.copy() else {
      return Reply::Problem(Problem::new(Code::RequestOversized));
    };
    let mode = Mode::Home {
      earlier: earlier.clone(),
      lost,
    };
    match handoff::send(shared, home, copy, &mode).await {
      // It leaves and runs no new key: another is the home now, and asks it.
      Ok(answer) if handoff::code(&answer) == Some(Code::RequestKeyMoved) => {
        earlier.push(home.target);
      }
      Ok(answer) => return Reply::Live(Live::new(answer, None)),
      // Nobody listens: what it knew died with it, and its next run will say so of itself.
      Err(Failure::Dead) => lost = true,
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

/// Runs a call with a key as its home.
pub async fn run_here(
  shared: &Arc<Shared>,
  call: Call,
  earlier: &[id::Target],
  lost: bool,
) -> Reply {
  let Some(key) = call.key() else {
    return Reply::Problem(Problem::new(Code::RequestMalformed));
  };
  let known = shared.ledger().knows(Instant::now(), key);
  if !known && shared.is_leaving() {
    return Reply::Problem(Problem::new(Code::RequestKeyMoved));
  }
  let past = if known {
    Past::Clear
  } else {
    match ask_earlier(shared, &call, key, earlier, lost).await {
      Ok(past) => past,
      Err(reply) => return *reply,
    }
  };
  let event = Event::Request {
    fingerprint: call.fingerprint(),
    first: call.is_first(),
    key,
    past,
  };
  // The answer's place is made under the same lock as the decision to run.
  let (action, waiters) = shared.enter_key(key, event);
  match action {
    Action::Run => run_once(shared, call, key, waiters).await,
    Action::Wait => wait(call, waiters).await,
    Action::Replay(answer) => Reply::Held(answer),
    Action::Conflict => Reply::Problem(Problem::new(Code::RequestKeyReused)),
    Action::NotRun(code) => Reply::Problem(Problem::new(code)),
    Action::Nothing | Action::Unknown => Reply::Problem(Problem::new(Code::RequestOutcomeUnknown)),
  }
}

/// Asks all that were the key's home within the window, and takes the key over from them.
async fn ask_earlier(
  shared: &Arc<Shared>,
  call: &Call,
  key: u128,
  named: &[id::Target],
  lost: bool,
) -> Result<Past, Box<Reply>> {
  let mut homes = shared.earlier_homes(key);
  homes.extend(named.iter().copied());
  let mut past = if lost { Past::Lost } else { Past::Clear };
  if homes.remove(&shared.settings.target) && shared.has_just_started() {
    // An earlier run of this very target may have run it.
    past = Past::Lost;
  }
  for hop in hops(shared, homes) {
    match claim(shared, call, hop).await {
      Claim::Answered(answer) => return Err(Box::new(Reply::Live(Live::new(answer, None)))),
      Claim::Lost if past == Past::Clear => past = Past::Lost,
      Claim::Clear | Claim::Lost => {}
      Claim::Unknown => {
        return Err(Box::new(Reply::Problem(Problem::new(
          Code::RequestOutcomeUnknown,
        ))));
      }
      Claim::Unreachable => past = Past::Unreachable,
    }
  }
  Ok(past)
}

/// What an earlier home says.
enum Claim {
  Answered(Answer),
  Clear,
  Lost,
  Unknown,
  Unreachable,
}

async fn claim(shared: &Shared, call: &Call, hop: Hop) -> Claim {
  let Some(copy) = call.copy() else {
    return Claim::Unreachable;
  };
  match handoff::send(shared, hop, copy, &Mode::Claim).await {
    Ok(answer) => match handoff::code(&answer) {
      Some(Code::RequestKeyMoved) => Claim::Clear,
      Some(Code::FrameWrongService | Code::FrameWrongTarget) => Claim::Lost,
      Some(_) => Claim::Unknown,
      None => Claim::Answered(answer),
    },
    Err(Failure::Dead) => Claim::Lost,
    Err(Failure::Unreachable | Failure::Unknown) => Claim::Unreachable,
  }
}

fn hops(shared: &Shared, targets: BTreeSet<id::Target>) -> Vec<Hop> {
  let table = shared.table();
  let hops = targets.into_iter().filter_map(|target| {
    let entry = table.as_ref()?.get(target)?;
    Some(Hop::from(entry))
  });
  hops.collect()
}

/// Runs the call in a task of its own: a caller that goes away does not stop it, and finds its
/// answer when it asks again.
async fn run_once(shared: &Arc<Shared>, call: Call, key: u128, waiters: Waiters) -> Reply {
  let start_by = call.start_by;
  let shared = Arc::clone(shared);
  tokio::spawn(async move {
    let reply = runner::run(&shared, call).await;
    let outcome = outcome(reply).await;
    shared.finish_key(key, outcome);
  });
  finish(start_by, waiters).await
}

async fn wait(call: Call, waiters: Waiters) -> Reply {
  finish(call.start_by, waiters).await
}

async fn finish(start_by: Instant, mut waiters: Waiters) -> Reply {
  let outcome = waiters.wait_for(Option::is_some);
  let outcome = tokio::time::timeout_at(start_by.into(), outcome).await;
  let outcome = match &outcome {
    Ok(Ok(outcome)) => outcome.as_ref(),
    _ => None,
  };
  match outcome {
    Some(Outcome::Answered(answer)) => Reply::Held(answer.clone()),
    Some(Outcome::NotRun(code)) => Reply::Problem(Problem::new(*code)),
    Some(Outcome::Unknown) | None => Reply::Problem(Problem::new(Code::RequestOutcomeUnknown)),
  }
}

/// What a reply means for the ledger: only what is whole counts as an answer.
async fn outcome(reply: Reply) -> Outcome {
  match reply {
    Reply::Held(answer) => Outcome::Answered(answer),
    Reply::Live(live) => whole(live).await,
    Reply::Problem(problem) if problem.code == Code::RequestOutcomeUnknown => Outcome::Unknown,
    Reply::Problem(problem) => Outcome::NotRun(problem.code),
  }
}

async fn whole(mut live: Live) -> Outcome {
  let (status, headers) = live.head();
  let mut body = BytesMut::new();
  loop {
    match live.piece().await {
      Ok(Some(piece)) if body.len() + piece.len() <= ANSWER_MAX => body.extend_from_slice(&piece),
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

/// A key's number for the rendezvous hash.
pub fn rank_key(key: u128) -> u64 {
  (key >> 64) as u64
}

/// The key's home among the targets of a table, without those already tried.
pub fn find(table: &routing::Table, key: u128, tried: &[id::Target]) -> Option<Hop> {
  routing::Machine::alternative(table, rank_key(key), tried)
}
