use {
  super::{
    Shared,
    call::{Body, Call},
    home,
    problem::Problem,
    reply::{Live, Reply},
    runner,
    upstream::{self, Answer, Failure},
  },
  crate::{
    Code,
    code::Fault,
    id,
    ledger::{Action, Event},
    routing::Hop,
    web,
  },
  bytes::Bytes,
  http::{HeaderMap, HeaderValue, Request, Response, StatusCode, request::Parts},
  http_body_util::{BodyExt, Either, Full, Limited},
  hyper::body::Incoming,
  std::{
    fmt::Write,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::net::TcpListener,
};

/// Sets the tags of handed calls apart from others under the same secret.
const DOMAIN: u64 = 0x6861_6e64;

/// The largest body that is handed over, in bytes.
const BODY_MAX: usize = 128 << 10;

/// What a peer is asked to do with a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Mode {
  /// Hand over what it knows of the key, and never run it from now on.
  Claim,
  /// Run it as the key's home, after asking these targets what they know; `lost` when one of the
  /// key's earlier homes is dead.
  Home {
    /// Targets that were the key's home and live.
    earlier: Vec<id::Target>,
    /// Whether one of them is dead.
    lost: bool,
  },
  /// Run it now or not at all.
  Run,
}

impl Mode {
  fn text(&self) -> String {
    match self {
      Self::Claim => "claim".into(),
      Self::Home { earlier, lost } => {
        let mut text = format!("home;{}", u8::from(*lost));
        for target in earlier {
          let _ = write!(text, ";{target}");
        }
        text
      }
      Self::Run => "run".into(),
    }
  }

  fn read(text: &str) -> Option<Self> {
    match text {
      "claim" => return Some(Self::Claim),
      "run" => return Some(Self::Run),
      _ => {}
    }
    let mut parts = text.strip_prefix("home;")?.split(';');
    let lost = parts.next()? == "1";
    let earlier = parts.map(str::parse).collect::<Result<_, _>>().ok()?;
    Some(Self::Home { earlier, lost })
  }
}

/// Sends a call to a peer, once.
pub async fn send(
  shared: &Shared,
  peer: Hop,
  mut call: Call,
  mode: &Mode,
) -> Result<Answer, Failure> {
  let tagger = shared.tagger().ok_or(Failure::Unreachable)?;
  let remaining = call.remaining().as_millis().to_string();
  for (name, value) in [
    ("fallwell-caller", call.caller.to_string()),
    ("fallwell-mode", mode.text()),
    ("fallwell-remaining-ms", remaining),
    ("fallwell-service", shared.settings.service.to_string()),
    ("fallwell-target", peer.target.to_string()),
  ] {
    let value = HeaderValue::from_str(&value).map_err(|_| Failure::Unreachable)?;
    call.head.headers.insert(name, value);
  }
  let tag = tagger
    .tag(tagger.current(), DOMAIN, &signed(&call.head))
    .ok_or(Failure::Unreachable)?;
  let tag = format!("{}-{tag:016x}", tagger.current());
  let tag = HeaderValue::from_str(&tag).map_err(|_| Failure::Unreachable)?;
  call.head.headers.insert("fallwell-tag", tag);
  upstream::send(peer.address, shared.settings.bind, call).await
}

/// The result code that a peer answered with, if its answer is its own and not its upstream's.
pub fn code(answer: &Answer) -> Option<Code> {
  let code = answer.response.headers().get("fallwell-code")?;
  Code::from_number(code.to_str().ok()?.parse().ok()?)
}

/// What a tag covers: all that decides over a handed call.
fn signed(head: &Parts) -> Vec<u8> {
  let mut bytes = format!("{} {}", head.method, head.uri).into_bytes();
  for name in [
    "fallwell-attempt",
    "fallwell-caller",
    "fallwell-mode",
    "fallwell-service",
    "fallwell-target",
    "idempotency-key",
  ] {
    bytes.push(b'\n');
    if let Some(value) = head.headers.get(name) {
      bytes.extend(value.as_bytes());
    }
  }
  bytes
}

type Sent = Either<Full<Bytes>, Live>;

/// Takes calls from peers until the process ends.
pub async fn serve(shared: Arc<Shared>) -> Result<(), Fault> {
  let failed = |error| Fault::new(Code::AddressUnavailable, error);
  let listener = shared.handoffs.try_clone().map_err(failed)?;
  let listener = TcpListener::from_std(listener).map_err(failed)?;
  web::accept(listener, move |request: Request<Incoming>| {
    let shared = Arc::clone(&shared);
    async move {
      match take(&shared, request).await {
        Ok(reply) => respond(reply),
        Err(problem) => {
          shared.counter.count(problem.code);
          respond(Reply::Problem(problem))
        }
      }
    }
  })
  .await
}

async fn take(shared: &Arc<Shared>, request: Request<Incoming>) -> Result<Reply, Problem> {
  let (head, body) = request.into_parts();
  let mode = check(shared, &head)?;
  let body = Limited::new(body, BODY_MAX).collect().await;
  let body = body.map_err(|_| Problem::new(Code::RequestMalformed))?;
  let call = call(shared, head, body.to_bytes())?;
  Ok(match mode {
    Mode::Claim => claim(shared, &call),
    Mode::Home { earlier, lost } => home::run_here(shared, call, &earlier, lost).await,
    Mode::Run => runner::run_here(shared, call).await,
  })
}

/// Lets in only calls for this target with a fitting tag.
fn check(shared: &Shared, head: &Parts) -> Result<Mode, Problem> {
  let text = |name| text(&head.headers, name);
  let tagger = shared.tagger().ok_or(Problem::new(Code::NotReady))?;
  let forged = Problem::new(Code::FrameForged);
  let (id, tag) = text("fallwell-tag")
    .and_then(|tag| tag.split_once('-'))
    .ok_or(forged)?;
  let id = id.parse().map_err(|_| forged)?;
  let tag = u64::from_str_radix(tag, 16).map_err(|_| forged)?;
  let expected = tagger.tag(id, DOMAIN, &signed(head));
  if expected != Some(tag) {
    return Err(forged);
  }
  if text("fallwell-service") != Some(shared.settings.service.to_string().as_str()) {
    return Err(Problem::new(Code::FrameWrongService));
  }
  if text("fallwell-target") != Some(shared.settings.target.to_string().as_str()) {
    return Err(Problem::new(Code::FrameWrongTarget));
  }
  text("fallwell-mode")
    .and_then(Mode::read)
    .ok_or(Problem::new(Code::RequestMalformed))
}

fn call(shared: &Shared, mut head: Parts, body: Bytes) -> Result<Call, Problem> {
  let malformed = Problem::new(Code::RequestMalformed);
  let caller = text(&head.headers, "fallwell-caller").and_then(|text| text.parse().ok());
  let caller: SocketAddr = caller.ok_or(malformed)?;
  let remaining = text(&head.headers, "fallwell-remaining-ms").and_then(|text| text.parse().ok());
  let remaining = Duration::from_millis(remaining.ok_or(malformed)?);
  for name in ["caller", "mode", "remaining-ms", "service", "tag", "target"] {
    head.headers.remove(format!("fallwell-{name}"));
  }
  upstream::strip(&mut head.headers);
  let route = shared.route(head.method.as_str(), head.uri.path());
  let route = route.unwrap_or_default();
  Ok(Call {
    body: Body::Whole(body),
    caller,
    head,
    route,
    start_by: Instant::now() + remaining,
    stays: false,
  })
}

/// Hands the key over: from now on it does not run here.
fn claim(shared: &Shared, call: &Call) -> Reply {
  let Some(key) = call.key() else {
    return Reply::Problem(Problem::new(Code::RequestMalformed));
  };
  match shared.ledger().step(Instant::now(), Event::Claimed(key)) {
    Action::Replay(answer) => Reply::Held(answer),
    Action::Nothing => Reply::Problem(Problem::new(Code::RequestKeyMoved)),
    _ => Reply::Problem(Problem::new(Code::RequestOutcomeUnknown)),
  }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
  headers.get(name)?.to_str().ok()
}

fn respond(reply: Reply) -> Response<Sent> {
  match reply {
    Reply::Held(answer) => {
      let mut response = Response::new(Either::Left(Full::new(answer.body)));
      *response.status_mut() = answer.status;
      *response.headers_mut() = (*answer.headers).clone();
      response
    }
    Reply::Live(live) => live.response().map(Either::Right),
    Reply::Problem(problem) => {
      let (head, body) = problem.response();
      debug_assert_ne!(head.status(), StatusCode::OK);
      head.map(|()| Either::Left(Full::new(body)))
    }
  }
}
