use {
  crate::{
    Revision,
    code::Fault,
    platform::{Change, Changes},
    web,
  },
  bytes::Bytes,
  http::{Method, Request, Response, StatusCode},
  http_body_util::{BodyExt, Full},
  hyper::body::Incoming,
  serde_json::json,
  std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
  },
};

/// How often a waiting watch checks for a change.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A response contains no further document once its documents have reached this size, in bytes.
const RESPONSE_BYTES: usize = 256 << 10;

/// An in-memory configuration service: operators put documents, and processes watch them. It can be
/// made unavailable, and it can be made to answer from an old snapshot.
#[derive(Debug, Default)]
pub struct Platform {
  state: Mutex<State>,
}

/// For each key the revision of its last change and the document's text; none if it was deleted.
type Documents = BTreeMap<String, (Revision, Option<String>)>;

#[derive(Debug, Default)]
struct State {
  documents: Documents,
  down: bool,
  reads: u64,
  revision: Revision,
  stale: Option<(Revision, Documents)>,
}

impl Platform {
  /// Serves the platform's API until the future is dropped.
  pub async fn run(address: SocketAddr) -> Result<(), Fault> {
    let platform = Arc::new(Self::default());
    web::serve(address, move |request: Request<Incoming>| {
      let platform = Arc::clone(&platform);
      async move { platform.handle(request).await }
    })
    .await
  }

  async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().map(str::to_owned);
    if request.method() == Method::GET {
      return match path.as_str() {
        "/v1/figures" => {
          let figures = json!({ "reads": self.lock().reads });
          web::answer(StatusCode::OK, figures.to_string())
        }
        "/v1/watch" => self.watch(query.as_deref()).await,
        _ => web::answer(StatusCode::NOT_FOUND, ""),
      };
    }
    let deletes = request.method() == Method::DELETE;
    let Ok(body) = request.into_body().collect().await else {
      return web::answer(StatusCode::BAD_REQUEST, "");
    };
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    match path.strip_prefix("/v1/documents/") {
      Some(key) => self.put(key, (!deletes).then_some(text)),
      None if path == "/v1/condition" => self.set_condition(&text),
      None => web::answer(StatusCode::NOT_FOUND, ""),
    }
  }

  /// Stores a document, or deletes it if there is no text, and responds with the new revision.
  fn put(&self, key: &str, text: Option<String>) -> Response<Full<Bytes>> {
    let mut state = self.lock();
    state.revision.0 += 1;
    let revision = state.revision;
    state.documents.insert(key.into(), (revision, text));
    web::answer(StatusCode::OK, json!({ "revision": revision }).to_string())
  }

  /// Sets the condition of the service: `up`, `down` (unavailable), or `stale` (watches are
  /// answered from a snapshot taken now).
  fn set_condition(&self, text: &str) -> Response<Full<Bytes>> {
    let mut state = self.lock();
    match text {
      "down" => state.down = true,
      "stale" => state.stale = Some((state.revision, state.documents.clone())),
      "up" => {
        state.down = false;
        state.stale = None;
      }
      _ => return web::answer(StatusCode::BAD_REQUEST, ""),
    }
    web::answer(StatusCode::OK, "")
  }

  async fn watch(&self, query: Option<&str>) -> Response<Full<Bytes>> {
    let number = |name| {
      web::parameter(query, name)
        .and_then(|value| value.parse::<u64>().ok())
        .unwrap_or(0)
    };
    let after = Revision(number("after"));
    let deadline = Instant::now() + Duration::from_millis(number("wait_ms"));
    let keys = web::parameter(query, "keys").map(|keys| keys.split(',').collect::<Vec<_>>());
    self.lock().reads += 1;
    loop {
      if self.lock().down {
        return web::answer(StatusCode::SERVICE_UNAVAILABLE, "");
      }
      let changes = self.lock().changes(after, keys.as_deref());
      if !changes.changes.is_empty() || Instant::now() >= deadline {
        let text = serde_json::to_string(&changes).unwrap_or_default();
        return web::answer(StatusCode::OK, text);
      }
      tokio::time::sleep(POLL_INTERVAL).await;
    }
  }

  fn lock(&self) -> MutexGuard<'_, State> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

impl State {
  fn changes(&self, after: Revision, keys: Option<&[&str]>) -> Changes {
    let (revision, documents) = match &self.stale {
      Some((revision, documents)) => (*revision, documents),
      None => (self.revision, &self.documents),
    };
    let mut changes = documents
      .iter()
      .filter(|(key, (changed, _))| {
        *changed > after && keys.is_none_or(|keys| keys.contains(&key.as_str()))
      })
      .map(|(key, (changed, text))| Change {
        key: key.clone(),
        revision: *changed,
        text: text.clone(),
      })
      .collect::<Vec<_>>();
    changes.sort_by_key(|change| change.revision);
    let mut bytes = 0;
    let included = changes
      .iter()
      .take_while(|change| {
        let before = bytes;
        bytes += change.text.as_ref().map_or(0, String::len);
        before < RESPONSE_BYTES
      })
      .count();
    if included == changes.len() {
      return Changes { changes, revision };
    }
    changes.truncate(included);
    let revision = changes.last().map_or(revision, |change| change.revision);
    Changes { changes, revision }
  }
}
