use {
  super::{
    Shared,
    call::{Body, Call},
    home,
    problem::Problem,
    reply::{Reply, Streamed},
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

/// Separates the tags of hand-offs from others made with the same secret.
const TAG_DOMAIN: u64 = 0x6861_6e64;

/// The largest body accepted from a peer, in bytes.
const BODY_MAX: usize = 128 << 10;

/// What a peer is to do with a call that is handed off to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Mode {
  /// Return the answer stored under the call's key, if any, and refuse to run the key from now on.
  Claim,
  /// Run it as the key's home, after claiming the key from these targets and the earlier homes that
  /// the peer knows.
  Home {
    /// Targets that refused to run the key because they are leaving.
    earlier: Vec<id::Target>,
    /// Whether a target that precedes this one in the order of homes refused the connection, so
    /// that its ledger is lost.
    ledger_lost: bool,
  },
  /// Run it if a slot is free now, else refuse it.
  Run,
}

impl Mode {
  /// The value of the `fallwell-mode` header.
  fn header(&self) -> String {
    match self {
      Self::Claim => "claim".into(),
      Self::Home {
        earlier,
        ledger_lost,
      } => {
        let mut text = format!("home;{}", u8::from(*ledger_lost));
        for target in earlier {
          let _ = write!(text, ";{target}");
        }
        text
      }
      Self::Run => "run".into(),
    }
  }

  fn parse(text: &str) -> Option<Self> {
    match text {
      "claim" => return Some(Self::Claim),
      "run" => return Some(Self::Run),
      _ => {}
    }
    let mut parts = text.strip_prefix("home;")?.split(';');
    let ledger_lost = parts.next()? == "1";
    let earlier = parts.map(str::parse).collect::<Result<_, _>>().ok()?;
    Some(Self::Home {
      earlier,
      ledger_lost,
    })
  }
}

/// Hands a call off to a peer, without retries.
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
    ("fallwell-mode", mode.header()),
    ("fallwell-remaining-ms", remaining),
    ("fallwell-service", shared.settings.service.to_string()),
    ("fallwell-target", peer.target.to_string()),
  ] {
    let value = HeaderValue::from_str(&value).map_err(|_| Failure::Unreachable)?;
    call.head.headers.insert(name, value);
  }
  let tag = tagger
    .tag(tagger.current(), TAG_DOMAIN, &tagged_bytes(&call.head))
    .ok_or(Failure::Unreachable)?;
  let tag = format!("{}-{tag:016x}", tagger.current());
  let tag = HeaderValue::from_str(&tag).map_err(|_| Failure::Unreachable)?;
  call.head.headers.insert("fallwell-tag", tag);
  upstream::send(peer.address, shared.settings.bind, call).await
}

/// The result code of a peer's own answer; none if the answer is that of its upstream.
pub fn result_code(answer: &Answer) -> Option<Code> {
  let code = answer.response.headers().get("fallwell-code")?;
  Code::from_number(code.to_str().ok()?.parse().ok()?)
}

/// The bytes that the tag authenticates.
fn tagged_bytes(head: &Parts) -> Vec<u8> {
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

type ResponseBody = Either<Full<Bytes>, Streamed>;

/// Accepts calls of peers until it is cancelled. Fails with `AddressUnavailable` when the listener
/// cannot be used.
pub async fn serve(shared: Arc<Shared>) -> Result<(), Fault> {
  let failed = |error| Fault::new(Code::AddressUnavailable, error);
  let listener = shared.handoffs.try_clone().map_err(failed)?;
  let listener = TcpListener::from_std(listener).map_err(failed)?;
  web::accept(listener, move |request: Request<Incoming>| {
    let shared = Arc::clone(&shared);
    async move {
      match handle(&shared, request).await {
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

async fn handle(shared: &Arc<Shared>, request: Request<Incoming>) -> Result<Reply, Problem> {
  let (head, body) = request.into_parts();
  let mode = authenticate(shared, &head)?;
  let body = Limited::new(body, BODY_MAX).collect().await;
  let body = body.map_err(|_| Problem::new(Code::RequestMalformed))?;
  let call = parse_call(shared, head, body.to_bytes())?;
  Ok(match mode {
    Mode::Claim => claim(shared, &call),
    Mode::Home {
      earlier,
      ledger_lost,
    } => home::run_as_home(shared, call, &earlier, ledger_lost).await,
    Mode::Run => runner::run_handed_off(shared, call).await,
  })
}

/// Checks that the tag is valid and the call is for this target, and returns the mode.
fn authenticate(shared: &Shared, head: &Parts) -> Result<Mode, Problem> {
  let value = |name| header_text(&head.headers, name);
  let tagger = shared.tagger().ok_or(Problem::new(Code::NotReady))?;
  let forged = Problem::new(Code::FrameForged);
  let (id, tag) = value("fallwell-tag")
    .and_then(|tag| tag.split_once('-'))
    .ok_or(forged)?;
  let id = id.parse().map_err(|_| forged)?;
  let tag = u64::from_str_radix(tag, 16).map_err(|_| forged)?;
  let expected = tagger.tag(id, TAG_DOMAIN, &tagged_bytes(head));
  if expected != Some(tag) {
    return Err(forged);
  }
  if value("fallwell-service") != Some(shared.settings.service.to_string().as_str()) {
    return Err(Problem::new(Code::FrameWrongService));
  }
  if value("fallwell-target") != Some(shared.settings.target.to_string().as_str()) {
    return Err(Problem::new(Code::FrameWrongTarget));
  }
  value("fallwell-mode")
    .and_then(Mode::parse)
    .ok_or(Problem::new(Code::RequestMalformed))
}

/// Restores the call from the headers that the peer added, and removes them.
fn parse_call(shared: &Shared, mut head: Parts, body: Bytes) -> Result<Call, Problem> {
  let malformed = Problem::new(Code::RequestMalformed);
  let caller = header_text(&head.headers, "fallwell-caller").and_then(|text| text.parse().ok());
  let caller: SocketAddr = caller.ok_or(malformed)?;
  let remaining = header_text(&head.headers, "fallwell-remaining-ms");
  let remaining = remaining.and_then(|text| text.parse().ok());
  let remaining = Duration::from_millis(remaining.ok_or(malformed)?);
  for name in ["caller", "mode", "remaining-ms", "service", "tag", "target"] {
    head.headers.remove(format!("fallwell-{name}"));
  }
  upstream::strip_connection_headers(&mut head.headers);
  let route = shared.route(head.method.as_str(), head.uri.path());
  let route = route.unwrap_or_default();
  Ok(Call {
    body: Body::Buffered(body),
    caller,
    head,
    route,
    deadline: Instant::now() + remaining,
    local_only: false,
  })
}

/// Gives up the key to the peer, so that this agent does not run it from now on.
fn claim(shared: &Shared, call: &Call) -> Reply {
  let Some(key) = call.key() else {
    return Reply::Problem(Problem::new(Code::RequestMalformed));
  };
  match shared.ledger().step(Instant::now(), Event::Claimed(key)) {
    Action::Replay(answer) => Reply::Buffered(answer),
    Action::Nothing => Reply::Problem(Problem::new(Code::RequestKeyMoved)),
    _ => Reply::Problem(Problem::new(Code::RequestOutcomeUnknown)),
  }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
  headers.get(name)?.to_str().ok()
}

fn respond(reply: Reply) -> Response<ResponseBody> {
  match reply {
    Reply::Buffered(answer) => {
      let mut response = Response::new(Either::Left(Full::new(answer.body)));
      *response.status_mut() = answer.status;
      *response.headers_mut() = (*answer.headers).clone();
      response
    }
    Reply::Streamed(answer) => answer.response().map(Either::Right),
    Reply::Problem(problem) => {
      let (head, body) = problem.response();
      debug_assert_ne!(head.status(), StatusCode::OK);
      head.map(|()| Either::Left(Full::new(body)))
    }
  }
}
