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

/// How often a waiting watch looks for a change.
const STEP: Duration = Duration::from_millis(10);

/// How many bytes of documents go into one answer.
const ANSWER_BYTES: usize = 256 << 10;

/// A configuration service in memory: an operator puts documents, readers watch them. It can be
/// taken down, and it can answer with an old copy.
#[derive(Debug, Default)]
pub struct Platform {
  state: Mutex<State>,
}

/// Texts and the revisions that they were put at; none where they were deleted.
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
  /// Serves until the task is dropped.
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
      None if path == "/v1/condition" => self.condition(&text),
      None => web::answer(StatusCode::NOT_FOUND, ""),
    }
  }

  /// An operator's change.
  fn put(&self, key: &str, text: Option<String>) -> Response<Full<Bytes>> {
    let mut state = self.lock();
    state.revision.0 += 1;
    let revision = state.revision;
    state.documents.insert(key.into(), (revision, text));
    web::answer(StatusCode::OK, json!({ "revision": revision }).to_string())
  }

  /// `up`, `down`, or `stale`: from now on it answers with today's copy.
  fn condition(&self, text: &str) -> Response<Full<Bytes>> {
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
    let end = Instant::now() + Duration::from_millis(number("wait_ms"));
    let keys = web::parameter(query, "keys").map(|keys| keys.split(',').collect::<Vec<_>>());
    self.lock().reads += 1;
    loop {
      if self.lock().down {
        return web::answer(StatusCode::SERVICE_UNAVAILABLE, "");
      }
      let changes = self.lock().changes(after, keys.as_deref());
      if !changes.changes.is_empty() || Instant::now() >= end {
        let text = serde_json::to_string(&changes).unwrap_or_default();
        return web::answer(StatusCode::OK, text);
      }
      tokio::time::sleep(STEP).await;
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
    let kept = changes
      .iter()
      .take_while(|change| {
        let before = bytes;
        bytes += change.text.as_ref().map_or(0, String::len);
        before < ANSWER_BYTES
      })
      .count();
    if kept == changes.len() {
      return Changes { changes, revision };
    }
    changes.truncate(kept);
    let revision = changes.last().map_or(revision, |change| change.revision);
    Changes { changes, revision }
  }
}
