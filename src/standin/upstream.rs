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

/// An upstream over HTTP/1.1 that keeps a journal in memory of what it ran.
///
/// `GET /feed?interval_ms=N` never ends; `GET /bytes?n=N` answers with N bytes; `GET /journal`
/// shows the journal; `POST` with an `Idempotency-Key` runs once for each time that it arrives,
/// for `work_ms` of the query, and with `held=1` until somebody asks for `GET /release`; any other
/// `POST` answers with the length of its body.
#[derive(Debug)]
pub struct Upstream {
  journal: Mutex<BTreeMap<String, u64>>,
  name: String,
  /// Whether requests that are held go on.
  released: watch::Sender<bool>,
  /// How many times as long as asked it works.
  slowness: u32,
}

impl Upstream {
  /// Serves until the task is dropped.
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
    let number = |name, otherwise| {
      web::parameter(query.as_deref(), name)
        .and_then(|value| value.parse::<u64>().ok())
        .unwrap_or(otherwise)
    };
    let work = Duration::from_millis(number("work_ms", 0)) * self.slowness;
    if request.method() == Method::GET {
      tokio::time::sleep(work).await;
      return match path.as_str() {
        "/bytes" => whole(vec![b'x'; number("n", 0) as usize]),
        "/feed" => self.feed(Duration::from_millis(number("interval_ms", 100))),
        "/release" => {
          self.released.send_replace(true);
          whole("true")
        }
        "/journal" => whole(json!(*self.lock()).to_string()),
        _ => whole(format!("{} {path}", self.name)),
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
      // It ends with the upstream, which holds the sender.
      let _ = self
        .released
        .subscribe()
        .wait_for(|released| *released)
        .await;
    }
    whole(json!({ "key": key, "length": length, "name": self.name }).to_string())
  }

  fn feed(&self, interval: Duration) -> Response<Body> {
    let name = self.name.clone();
    let beats = stream::unfold(0u64, move |count| {
      let line = format!("{name} {count}\n");
      async move {
        if count > 0 {
          tokio::time::sleep(interval).await;
        }
        Some((Ok(Frame::data(Bytes::from(line))), count + 1))
      }
    });
    Response::new(Either::Right(StreamBody::new(beats.boxed())))
  }

  fn lock(&self) -> MutexGuard<'_, BTreeMap<String, u64>> {
    self.journal.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

fn whole(body: impl Into<Bytes>) -> Response<Body> {
  web::answer(StatusCode::OK, body).map(Either::Left)
}
