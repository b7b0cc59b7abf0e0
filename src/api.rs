//! The resource API (HTTP/JSON): the services with their documents and conditions, counters, and
//! the state dump.

use {
  crate::{
    code::{Code, Fault},
    config::{Key, Store},
    id,
    peer::Node,
    web,
  },
  bytes::Bytes,
  http::{Method, Request, Response, StatusCode},
  http_body_util::Full,
  hyper::body::Incoming,
  serde_json::{Value, json},
  std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
  },
};

/// The default and the longest time that a watch waits for a change.
const WATCH_TIMEOUT_MAX: Duration = Duration::from_secs(30);

/// Serves the resource API of a process until the future is dropped.
pub async fn serve(address: SocketAddr, node: Arc<Node>) -> Result<(), Fault> {
  web::serve(address, move |request: Request<Incoming>| {
    let node = Arc::clone(&node);
    async move { handle(&node, &request).await }
  })
  .await
}

async fn handle(node: &Node, request: &Request<Incoming>) -> Response<Full<Bytes>> {
  if request.method() != Method::GET {
    return error_response(
      StatusCode::METHOD_NOT_ALLOWED,
      &format!("found method `{}`, expected `GET`", request.method()),
    );
  }
  let path = request.uri().path();
  match path {
    "/v1/counters" => json_response(StatusCode::OK, &json!(node.counter().snapshot())),
    "/v1/health" => json_response(StatusCode::OK, &json!({ "healthy": true })),
    "/v1/ready" => ready(node),
    "/v1/services" => json_response(StatusCode::OK, &services(node)),
    "/v1/state" => web::answer(StatusCode::OK, node.registry().text()),
    "/v1/watch" => watch(node, request.uri().query()).await,
    _ => match path.strip_prefix("/v1/services/") {
      Some(id) => service(node, id),
      None => error_response(StatusCode::NOT_FOUND, &format!("found path `{path}`")),
    },
  }
}

fn ready(node: &Node) -> Response<Full<Bytes>> {
  let ready = in_force_version(node).is_some() && node.machine().has_joined();
  let status = if ready {
    StatusCode::OK
  } else {
    StatusCode::SERVICE_UNAVAILABLE
  };
  json_response(status, &json!({ "ready": ready }))
}

/// The version of the configuration that packets are forwarded by; none before the first one.
fn in_force_version(node: &Node) -> Option<u64> {
  node.registry().get("path")?.get("version")?.as_u64()
}

fn services(node: &Node) -> Value {
  let version = in_force_version(node);
  let machine = node.machine();
  let services = machine.store().services().map(|(_, service)| {
    service_json(
      machine.store(),
      service.id,
      version == Some(machine.version()),
    )
  });
  Value::Array(services.collect())
}

fn service(node: &Node, id: &str) -> Response<Full<Bytes>> {
  let Ok(id) = id.parse::<id::Service>() else {
    return error_response(
      StatusCode::BAD_REQUEST,
      &format!("found service `{id}`, expected a number"),
    );
  };
  let version = in_force_version(node);
  let machine = node.machine();
  if machine.store().revision(Key::Service(id)).is_none() {
    return error_response(StatusCode::NOT_FOUND, &format!("found no service {id}"));
  }
  let is_current = version == Some(machine.version());
  json_response(
    StatusCode::OK,
    &service_json(machine.store(), id, is_current),
  )
}

/// The representation of a service. `is_current` says whether packets are forwarded by the latest
/// configuration of the process.
fn service_json(store: &Store, id: id::Service, is_current: bool) -> Value {
  let key = Key::Service(id);
  let service = store.service(id);
  let fault = store.fault(key);
  let leaving = service.map_or(0, |service| {
    service
      .targets
      .iter()
      .filter(|target| target.leaving)
      .count()
  });
  json!({
    "conditions": {
      "accepted": accepted_condition(fault.is_none(), fault),
      "draining": { "status": leaving > 0, "targets": leaving },
      "in_force": { "status": is_current && service.is_some() },
    },
    "document": service,
    "generation": service.map(|service| service.generation),
    "id": id,
    "revision": store.revision(key),
    "revision_in_force": store.in_force(key),
  })
}

fn accepted_condition(status: bool, fault: Option<&Fault>) -> Value {
  json!({
    "code": fault.map(|fault| fault.code.number()),
    "reason": fault.map(ToString::to_string),
    "status": status,
  })
}

async fn watch(node: &Node, query: Option<&str>) -> Response<Full<Bytes>> {
  let after = web::parameter(query, "after").unwrap_or("0");
  let Ok(after) = after.parse::<u64>() else {
    return error_response(
      StatusCode::BAD_REQUEST,
      &format!("found `{after}`, expected a number, in `after`"),
    );
  };
  let wait = web::parameter(query, "wait_ms").map(str::parse::<u64>);
  let wait = match wait {
    None => WATCH_TIMEOUT_MAX,
    Some(Ok(milliseconds)) => Duration::from_millis(milliseconds).min(WATCH_TIMEOUT_MAX),
    Some(Err(_)) => {
      return error_response(StatusCode::BAD_REQUEST, "expected a number, in `wait_ms`");
    }
  };
  let deadline = Instant::now() + wait;
  while node.machine().version() <= after && Instant::now() < deadline {
    tokio::time::sleep(Duration::from_millis(50)).await;
  }
  let version = node.machine().version();
  json_response(
    StatusCode::OK,
    &json!({ "services": services(node), "version": version }),
  )
}

fn json_response(status: StatusCode, value: &Value) -> Response<Full<Bytes>> {
  web::answer(status, value.to_string())
}

fn error_response(status: StatusCode, detail: &str) -> Response<Full<Bytes>> {
  let code = Code::ArgumentInvalid;
  json_response(
    status,
    &json!({ "code": code.number(), "detail": detail, "title": code.text() }),
  )
}
