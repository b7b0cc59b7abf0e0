use {
  super::{
    allowance::Allowance,
    resource,
    shared::{Message, Question, Shared},
    source::Source,
  },
  crate::{
    Code, Revision,
    code::Fault,
    datagram::{News, Origin, Settings},
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

/// How long a watch waits for something to change. The word of a reader counts as fresh for about
/// as long.
const WATCH: Duration = Duration::from_millis(1200);

/// How long a reader waits after an answer before it asks again. Each call has a price, and changes
/// come in bursts.
const PAUSE: Duration = Duration::from_millis(250);

/// The waits after failures: the first, and the longest.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(800));

/// How long the first question to the platform may stay unanswered before another is asked beside
/// it: longer than a slow platform takes for most answers.
const AGAIN: Duration = Duration::from_millis(300);

/// How many first questions wait for an answer at the same time at most: as many as are asked
/// before one is given up.
const READS_MAX: usize = 4;

/// How long a peer may take to answer a question.
const ANSWER: Duration = Duration::from_millis(400);

/// The path where peers ask for news.
const NEWS: &str = "/v1/news";

/// The path of the counts and times.
const METRICS: &str = "/metrics";

/// The path of all services, and what that of one begins with.
const SERVICES: &str = "/v1/services";
const SERVICE: &str = "/v1/services/";

/// The path of the state.
const STATE: &str = "/v1/state";

/// Asks the platform and peers, and answers peers, the platform and operators, until the process
/// ends.
pub fn run<S: Source>(
  settings: &Settings,
  source: &S,
  shared: &Arc<Shared>,
  questions: mpsc::UnboundedReceiver<Question>,
) -> Result<(), Fault> {
  let runtime = tokio::runtime::Builder::new_current_thread()
    .enable_all()
    .build()
    .map_err(|error| Fault::new(Code::ChildFailed, error))?;
  runtime.block_on(async {
    let reads = read(source.clone(), Arc::clone(shared));
    let asks = ask(questions, Arc::clone(shared));
    let part = Part {
      allowance: Arc::new(Allowance::new(settings.link)),
      shared: Arc::clone(shared),
      source: source.clone(),
    };
    let readiness = serve(settings.readiness, &part);
    let peers = serve(settings.peers, &part);
    let api = serve(settings.api, &part);
    let ((), (), readiness, peers, api) = tokio::join!(reads, asks, readiness, peers, api);
    readiness.and(peers).and(api)
  })
}

/// Reads the platform while that is this process's part.
async fn read<S: Source>(source: S, shared: Arc<Shared>) {
  let mut reading = shared.reading.subscribe();
  let mut back_off = BACK_OFF.0;
  let mut lost: Option<Instant> = None;
  let mut whole = true;
  loop {
    if reading.wait_for(|reading| reading.wanted).await.is_err() {
      return;
    }
    let after = reading.borrow().after;
    let answer = match after {
      Some(after) if !whole => source.watch(after, WATCH).await,
      Some(_) => source.read().await.map(Some),
      None => read_first(&source).await.map(Some),
    };
    match answer {
      Ok(news) => {
        whole = news.is_none();
        if let Some(since) = lost.take() {
          log::info!(after:? = since.elapsed(); "control: platform answers again.");
        }
        back_off = BACK_OFF.0;
        if let Some(news) = news {
          shared.tell(Message::News(Origin::Platform, news));
        } else {
          log::info!("control: platform has forgotten its history and is read whole.");
        }
        // What comes in quick succession is read with one call; meanwhile the packet thread
        // publishes where the next watch begins.
        tokio::time::sleep(PAUSE).await;
      }
      Err(fault) => {
        shared.counter.count(fault.code);
        if lost.is_none() {
          log::warn!(fault:% = fault; "control: platform does not answer.");
          lost = Some(Instant::now());
        }
        tokio::time::sleep(back_off).await;
        // Where nothing is known, nothing can be served.
        let longest = if after.is_some() {
          BACK_OFF.1
        } else {
          BACK_OFF.0
        };
        back_off = (back_off * 2).min(longest);
      }
    }
  }
}

/// Reads for the first time. Beside a question that is not answered soon another one is asked, since
/// its connection may be dead for good, and the first answer is taken: after a silence of the
/// platform balancers that had started meanwhile placed flows after 0.07 s, not 0.6 s (by the logs).
async fn read_first<S: Source>(source: &S) -> Result<News, Fault> {
  let mut reads = FuturesUnordered::new();
  let mut again = tokio::time::interval(AGAIN);
  loop {
    tokio::select! {
      _ = again.tick(), if reads.len() < READS_MAX => reads.push(source.read()),
      Some(answer) = reads.next() => {
        if answer.is_ok() || reads.is_empty() {
          return answer;
        }
      }
    }
  }
}

/// Asks peers for what they know.
async fn ask(mut questions: mpsc::UnboundedReceiver<Question>, shared: Arc<Shared>) {
  while let Some(question) = questions.recv().await {
    let shared = Arc::clone(&shared);
    tokio::spawn(async move {
      match news(question.peer, question.after).await {
        Ok(news) => shared.tell(Message::News(Origin::Peer(question.peer), news)),
        Err(fault) => {
          shared.counter.count(Code::PeerUnreachable);
          log::info!(peer:% = question.peer, fault:% = fault; "control: peer does not answer.");
          shared.tell(Message::Unreachable(question.peer));
        }
      }
    });
  }
}

async fn news(peer: SocketAddrV4, after: Revision) -> Result<News, Fault> {
  let path = format!("{NEWS}?after={after}");
  let (status, body) = web::request(peer.into(), Method::GET, &path, "", ANSWER).await?;
  if status != StatusCode::OK {
    return Err(Fault::new(
      Code::PeerUnreachable,
      format!("{peer}: status {status}"),
    ));
  }
  postcard::from_bytes(&body)
    .map_err(|error| Fault::new(Code::FrameTruncated, format!("{peer}: {error}")))
}

/// What questions are answered from.
#[derive(Clone)]
struct Part<S> {
  allowance: Arc<Allowance>,
  shared: Arc<Shared>,
  source: S,
}

async fn serve<S: Source>(address: SocketAddrV4, part: &Part<S>) -> Result<(), Fault> {
  let part = part.clone();
  web::serve(address.into(), move |request| answer(request, part.clone())).await
}

async fn answer<S: Source>(request: Request<Incoming>, part: Part<S>) -> Response<Full<Bytes>> {
  let Part { shared, source, .. } = &part;
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
    NEWS => tell_news(request.uri().query(), &part),
    STATE => dump(source, shared).await,
    path if path.starts_with(SERVICE) => show_service(&path[SERVICE.len()..], shared),
    path if path == readiness && shared.is_ready() => web::answer(StatusCode::OK, ""),
    path if path == readiness => web::answer(StatusCode::SERVICE_UNAVAILABLE, ""),
    _ => web::answer(StatusCode::NOT_FOUND, ""),
  }
}

/// The counts and times, and how much of the platform's word cannot be obeyed.
fn metrics<S: Source>(source: &S, shared: &Shared) -> String {
  let ignored = source.ignored().len();
  let counts = shared.counter.text();
  format!("{counts}fallwell_count{{name=\"ignored\"}} {ignored}\n")
}

/// The state as the packet thread sees it, and what of the platform's word cannot be obeyed.
async fn dump<S: Source>(source: &S, shared: &Shared) -> Response<Full<Bytes>> {
  let (asker, state) = oneshot::channel();
  shared.tell(Message::Dump(asker));
  match tokio::time::timeout(ANSWER, state).await {
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

fn tell_news<S>(query: Option<&str>, part: &Part<S>) -> Response<Full<Bytes>> {
  let after = web::parameter(query, "after");
  let Some(after) = after.and_then(|after| after.parse().ok()) else {
    return web::answer(StatusCode::BAD_REQUEST, "expected `after`, a revision");
  };
  match postcard::to_allocvec(&part.shared.catalog().since(after)) {
    Ok(body) if !part.allowance.takes(Instant::now(), body.len()) => {
      web::answer(StatusCode::SERVICE_UNAVAILABLE, "ask another")
    }
    Ok(body) => web::answer(StatusCode::OK, body),
    Err(error) => web::answer(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
  }
}
