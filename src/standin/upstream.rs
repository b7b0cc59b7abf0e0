use {
  crate::{code::Fault, web},
  bytes::Bytes,
  futures::{StreamExt, stream},
  http::{Method, Request, Response, StatusCode},
  http_body_util::{BodyExt, Either, Full, StreamBody},
  hyper::body::{Frame, Incoming},
  serde_json::json,
  std::{
    collections::BTreeMap,
    convert::Infallible,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
  },
  tokio::sync::watch,
};

type Feed = Pin<Box<dyn futures::Stream<Item = Result<Frame<Bytes>, Infallible>> + Send>>;
type Body = Either<Full<Bytes>, StreamBody<Feed>>;

/// An HTTP/1.1 upstream with an in-memory journal, which counts the requests for each idempotency
/// key.
///
/// - `GET /bytes?n=N` responds with N bytes.
/// - `GET /feed?interval_ms=N` responds with a line every N milliseconds, without end.
/// - `GET /journal` responds with the journal.
/// - `GET /release` ends the delay of all requests with `held=1`.
/// - `POST` with an `Idempotency-Key` is counted in the journal, each time that it arrives.
/// - Any `POST` responds with the key, the length of the body and the name of the upstream; with
///   `held=1` not before `GET /release`.
/// - The query parameter `work_ms` delays a response by that time, multiplied by the slowness.
#[derive(Debug)]
pub struct Upstream {
  journal: Mutex<BTreeMap<String, u64>>,
  name: String,
  /// Whether requests with `held=1` may be answered.
  released: watch::Sender<bool>,
  /// The factor by which `work_ms` is multiplied.
  slowness: u32,
}

impl Upstream {
  /// Serves requests until the future is dropped.
  pub async fn run(address: SocketAddr, name: String, slowness: u32) -> Result<(), Fault> {
    let upstream = Arc::new(Self {
      journal: Mutex::default(),
      name,
      released: watch::Sender::new(false),
      slowness,
    });
    web::serve(address, move |request: Request<Incoming>| {
      let upstream = Arc::clone(&upstream);
      async move { upstream.handle(request).await }
    })
    .await
  }

  async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().map(str::to_owned);
    let number = |name, default| {
      web::parameter(query.as_deref(), name)
        .and_then(|value| value.parse::<u64>().ok())
        .unwrap_or(default)
    };
    let work = Duration::from_millis(number("work_ms", 0)) * self.slowness;
    if request.method() == Method::GET {
      tokio::time::sleep(work).await;
      return match path.as_str() {
        "/bytes" => full_response(vec![b'x'; number("n", 0) as usize]),
        "/feed" => self.feed(Duration::from_millis(number("interval_ms", 100))),
        "/release" => {
          self.released.send_replace(true);
          full_response("true")
        }
        "/journal" => full_response(json!(*self.lock()).to_string()),
        _ => full_response(format!("{} {path}", self.name)),
      };
    }
    let key = request.headers().get("idempotency-key");
    let key = key.and_then(|key| key.to_str().ok()).map(str::to_owned);
    let Ok(body) = request.into_body().collect().await else {
      return web::answer(StatusCode::BAD_REQUEST, "").map(Either::Left);
    };
    let length = body.to_bytes().len();
    if let Some(key) = &key {
      *self.lock().entry(key.clone()).or_default() += 1;
    }
    tokio::time::sleep(work).await;
    if number("held", 0) == 1 {
      // Fails only if the sender, which `self` owns, is dropped.
      let _ = self
        .released
        .subscribe()
        .wait_for(|released| *released)
        .await;
    }
    full_response(json!({ "key": key, "length": length, "name": self.name }).to_string())
  }

  fn feed(&self, interval: Duration) -> Response<Body> {
    let name = self.name.clone();
    let lines = stream::unfold(0u64, move |count| {
      let line = format!("{name} {count}\n");
      async move {
        if count > 0 {
          tokio::time::sleep(interval).await;
        }
        Some((Ok(Frame::data(Bytes::from(line))), count + 1))
      }
    });
    Response::new(Either::Right(StreamBody::new(lines.boxed())))
  }

  fn lock(&self) -> MutexGuard<'_, BTreeMap<String, u64>> {
    self.journal.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

fn full_response(body: impl Into<Bytes>) -> Response<Body> {
  web::answer(StatusCode::OK, body).map(Either::Left)
}
