use {
  super::{
    allowance::Allowance,
    resource,
    shared::{Message, Pull, Shared},
    source::Source,
  },
  crate::{
    Code, Revision,
    code::Fault,
    datagram::{Origin, Settings, Update},
    web,
  },
  bytes::Bytes,
  futures::stream::{FuturesUnordered, StreamExt},
  http::{Method, Request, Response, StatusCode},
  http_body_util::Full,
  hyper::body::Incoming,
  serde_json::json,
  std::{
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
  },
  tokio::sync::{mpsc, oneshot},
};

/// How long a watch waits for a change; shorter than `Tuning::takeover`, after which other balancers
/// read the platform too.
const WATCH_WAIT: Duration = Duration::from_millis(1200);

/// The pause after an answer of the platform: each call costs money, and changes come in bursts.
const READ_PAUSE: Duration = Duration::from_millis(250);

/// The wait after the first failure; doubled with each further one.
const BACK_OFF_MIN: Duration = Duration::from_millis(100);

/// The longest wait after a failure.
const BACK_OFF_MAX: Duration = Duration::from_millis(800);

/// The interval of concurrent attempts at the first read; longer than a slow platform takes for
/// most answers.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(300);

/// The most concurrent attempts at the first read: as many as start before the first one times out.
const ATTEMPTS_MAX: usize = 4;

/// The timeout of a pull from a peer, and of a state dump.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// The path at which peers pull updates.
const UPDATE_PATH: &str = "/v1/news";

/// The path of the metrics.
const METRICS: &str = "/metrics";

/// The path of all services.
const SERVICES: &str = "/v1/services";

/// The prefix of the path of one service.
const SERVICE_PREFIX: &str = "/v1/services/";

/// The path of the state dump.
const STATE: &str = "/v1/state";

/// Runs the control thread: reads the platform, pulls updates from peers, and serves requests of
/// peers, the platform and operators, until the process ends. Fails if an address can't be served.
pub fn run<S: Source>(
  settings: &Settings,
  source: &S,
  shared: &Arc<Shared>,
  pulls: mpsc::UnboundedReceiver<Pull>,
) -> Result<(), Fault> {
  let runtime = tokio::runtime::Builder::new_current_thread()
    .enable_all()
    .build()
    .map_err(|error| Fault::new(Code::ChildFailed, error))?;
  runtime.block_on(async {
    let reads = read(source.clone(), Arc::clone(shared));
    let pulls = run_pulls(pulls, Arc::clone(shared));
    let context = Context {
      allowance: Arc::new(Allowance::new(settings.link)),
      shared: Arc::clone(shared),
      source: source.clone(),
    };
    let readiness = serve(settings.readiness, &context);
    let peers = serve(settings.peers, &context);
    let api = serve(settings.api, &context);
    let ((), (), readiness, peers, api) = tokio::join!(reads, pulls, readiness, peers, api);
    readiness.and(peers).and(api)
  })
}

/// Reads the platform while this process is selected to.
async fn read<S: Source>(source: S, shared: Arc<Shared>) {
  let mut reading = shared.reading.subscribe();
  let mut back_off = BACK_OFF_MIN;
  let mut failing_since: Option<Instant> = None;
  let mut snapshot_due = false;
  loop {
    if reading.wait_for(|reading| reading.wanted).await.is_err() {
      return;
    }
    let after = reading.borrow().after;
    let answer = match after {
      Some(after) if !snapshot_due => source.watch(after, WATCH_WAIT).await,
      Some(_) => source.read().await.map(Some),
      None => read_first(&source).await.map(Some),
    };
    match answer {
      Ok(update) => {
        snapshot_due = update.is_none();
        if let Some(since) = failing_since.take() {
          log::info!(after:? = since.elapsed(); "control: platform answers again.");
        }
        back_off = BACK_OFF_MIN;
        if let Some(update) = update {
          shared.send(Message::Update(Origin::Platform, update));
        } else {
          log::info!("control: platform no longer has the history; reading a snapshot.");
        }
        // Collects changes in quick succession into one read; meanwhile the packet thread publishes
        // the revision from which the next watch starts.
        tokio::time::sleep(READ_PAUSE).await;
      }
      Err(fault) => {
        shared.counter.count(fault.code);
        if failing_since.is_none() {
          log::warn!(fault:% = fault; "control: platform does not answer.");
          failing_since = Some(Instant::now());
        }
        tokio::time::sleep(back_off).await;
        // Without any configuration nothing can be served, so the wait stays short.
        let longest = if after.is_some() {
          BACK_OFF_MAX
        } else {
          BACK_OFF_MIN
        };
        back_off = (back_off * 2).min(longest);
      }
    }
  }
}

/// Reads a snapshot. Starts further attempts while earlier ones are unanswered, since their
/// connections may be dead, and returns the first answer: after an outage of the platform, balancers
/// that had started meanwhile placed flows after 0.07 s instead of 0.6 s.
async fn read_first<S: Source>(source: &S) -> Result<Update, Fault> {
  let mut reads = FuturesUnordered::new();
  let mut attempts = tokio::time::interval(ATTEMPT_INTERVAL);
  loop {
    tokio::select! {
      _ = attempts.tick(), if reads.len() < ATTEMPTS_MAX => reads.push(source.read()),
      Some(answer) = reads.next() => {
        if answer.is_ok() || reads.is_empty() {
          return answer;
        }
      }
    }
  }
}

/// Pulls updates from peers.
async fn run_pulls(mut pulls: mpsc::UnboundedReceiver<Pull>, shared: Arc<Shared>) {
  while let Some(pull) = pulls.recv().await {
    let shared = Arc::clone(&shared);
    tokio::spawn(async move {
      match pull_update(pull.peer, pull.after).await {
        Ok(update) => shared.send(Message::Update(Origin::Peer(pull.peer), update)),
        Err(fault) => {
          shared.counter.count(Code::PeerUnreachable);
          log::info!(peer:% = pull.peer, fault:% = fault; "control: peer does not answer.");
          shared.send(Message::Unreachable(pull.peer));
        }
      }
    });
  }
}

async fn pull_update(peer: SocketAddrV4, after: Revision) -> Result<Update, Fault> {
  let path = format!("{UPDATE_PATH}?after={after}");
  let (status, body) = web::request(peer.into(), Method::GET, &path, "", REQUEST_TIMEOUT).await?;
  if status != StatusCode::OK {
    return Err(Fault::new(
      Code::PeerUnreachable,
      format!("{peer}: status {status}"),
    ));
  }
  postcard::from_bytes(&body)
    .map_err(|error| Fault::new(Code::FrameTruncated, format!("{peer}: {error}")))
}

/// What requests are served from.
#[derive(Clone)]
struct Context<S> {
  allowance: Arc<Allowance>,
  shared: Arc<Shared>,
  source: S,
}

async fn serve<S: Source>(address: SocketAddrV4, context: &Context<S>) -> Result<(), Fault> {
  let context = context.clone();
  web::serve(address.into(), move |request| {
    answer(request, context.clone())
  })
  .await
}

async fn answer<S: Source>(
  request: Request<Incoming>,
  context: Context<S>,
) -> Response<Full<Bytes>> {
  let Context { shared, source, .. } = &context;
  let readiness = source.readiness_path();
  if request.method() != Method::GET {
    return web::answer(StatusCode::METHOD_NOT_ALLOWED, "");
  }
  match request.uri().path() {
    METRICS => web::answer(StatusCode::OK, metrics(source, shared)),
    SERVICES => web::answer(
      StatusCode::OK,
      resource::services(&shared.catalog()).to_string(),
    ),
    UPDATE_PATH => serve_update(request.uri().query(), &context),
    STATE => dump(source, shared).await,
    path if path.starts_with(SERVICE_PREFIX) => show_service(&path[SERVICE_PREFIX.len()..], shared),
    path if path == readiness && shared.is_ready() => web::answer(StatusCode::OK, ""),
    path if path == readiness => web::answer(StatusCode::SERVICE_UNAVAILABLE, ""),
    _ => web::answer(StatusCode::NOT_FOUND, ""),
  }
}

/// The metrics, including the number of platform entries that are ignored as invalid.
fn metrics<S: Source>(source: &S, shared: &Shared) -> String {
  let ignored = source.ignored().len();
  let counts = shared.counter.text();
  format!("{counts}fallwell_count{{name=\"ignored\"}} {ignored}\n")
}

/// The state of the packet thread, and the platform entries that are ignored as invalid.
async fn dump<S: Source>(source: &S, shared: &Shared) -> Response<Full<Bytes>> {
  let (response, state) = oneshot::channel();
  shared.send(Message::Dump(response));
  match tokio::time::timeout(REQUEST_TIMEOUT, state).await {
    Ok(Ok(mut state)) => {
      state["ignored"] = json!(source.ignored());
      web::answer(StatusCode::OK, state.to_string())
    }
    _ => web::answer(StatusCode::SERVICE_UNAVAILABLE, ""),
  }
}

fn show_service(name: &str, shared: &Shared) -> Response<Full<Bytes>> {
  if let Some(service) = resource::service(&shared.catalog(), name) {
    return web::answer(StatusCode::OK, service.to_string());
  }
  let detail = format!("found no service `{name}`");
  let body = json!({ "code": Code::ArgumentInvalid.number(), "detail": detail });
  web::answer(StatusCode::NOT_FOUND, body.to_string())
}

fn serve_update<S>(query: Option<&str>, context: &Context<S>) -> Response<Full<Bytes>> {
  let after = web::parameter(query, "after");
  let Some(after) = after.and_then(|after| after.parse().ok()) else {
    return web::answer(StatusCode::BAD_REQUEST, "expected `after`, a revision");
  };
  match postcard::to_allocvec(&context.shared.catalog().since(Instant::now(), after)) {
    Ok(body) if !context.allowance.admits(Instant::now(), body.len()) => {
      web::answer(StatusCode::SERVICE_UNAVAILABLE, "ask another")
    }
    Ok(body) => web::answer(StatusCode::OK, body),
    Err(error) => web::answer(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
  }
}
