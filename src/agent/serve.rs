use {
  super::{
    Shared, cid_generator::CidGenerator, count_guard::CountGuard, handoff, proxy, tls,
    tunnel_socket::TunnelSocket,
  },
  crate::{Code, code::Fault, supervisor::Stop},
  bytes::Bytes,
  h3::server::{Connection, RequestResolver},
  quinn::{Endpoint, Incoming, TokioRuntime, VarInt},
  std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
  },
  tokio::{runtime, task::JoinSet},
};

/// The interval at which tasks check for a keyring and for a request to reload the certificate.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long an agent that stops waits for its connections to close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The number of threads for the transport and the requests.
const WORKER_THREADS: usize = 2;

/// Accepts callers' flows and peers' hand-offs until it is stopped.
///
/// Fails with `TlsInvalid` when the certificate or the key is not valid, `AddressUnavailable` when
/// hand-offs cannot be accepted, and `ChildFailed` when the runtime or the transport cannot start.
pub fn run(shared: &Arc<Shared>, stop: &Stop) -> Result<(), Fault> {
  let runtime = runtime::Builder::new_multi_thread()
    .worker_threads(WORKER_THREADS)
    .enable_all()
    .build()
    .map_err(|error| Fault::new(Code::ChildFailed, error))?;
  runtime.block_on(serve(shared, stop))
}

async fn serve(shared: &Arc<Shared>, stop: &Stop) -> Result<(), Fault> {
  let server = tls::server_config(shared)?;
  let secret = loop {
    if stop.is_set() {
      return Ok(());
    }
    if let Some(tagger) = shared.tagger() {
      break *tagger.secret();
    }
    tokio::time::sleep(POLL_INTERVAL).await;
  };
  let mut config = tls::endpoint_config(&secret, shared);
  let cid_shared = Arc::clone(shared);
  config.cid_generator(move || Box::new(CidGenerator::new(Arc::clone(&cid_shared))));
  let socket = Arc::new(TunnelSocket::new(Arc::clone(shared)));
  let endpoint =
    Endpoint::new_with_abstract_socket(config, Some(server), socket, Arc::new(TokioRuntime))
      .map_err(|error| Fault::new(Code::ChildFailed, error))?;
  shared.serving.store(true, Ordering::Relaxed);
  let result = tokio::select! {
    () = accept(shared, &endpoint) => Ok(()),
    result = handoff::serve(Arc::clone(shared)) => result,
    () = reload_certificate(shared, &endpoint) => Ok(()),
    () = shared.slots.expire_waiting() => Ok(()),
    () = stop.wait() => Ok(()),
  };
  endpoint.close(VarInt::from_u32(0), b"stopped");
  let _ = tokio::time::timeout(CLOSE_TIMEOUT, endpoint.wait_idle()).await;
  result
}

async fn accept(shared: &Arc<Shared>, endpoint: &Endpoint) {
  while let Some(incoming) = endpoint.accept().await {
    if !shared.accepts_flows() {
      // Tells the caller at once, instead of letting it wait until its handshake times out.
      shared.counter.add("flows.rejected", 1);
      incoming.refuse();
      continue;
    }
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
      serve_connection(shared, incoming).await;
    });
  }
}

/// Reloads the certificate and the key on request, for new flows only. If they are not valid, the
/// current ones stay in use.
async fn reload_certificate(shared: &Arc<Shared>, endpoint: &Endpoint) {
  loop {
    tokio::time::sleep(POLL_INTERVAL).await;
    if !shared.reload.swap(false, Ordering::Relaxed) {
      continue;
    }
    match tls::server_config(shared) {
      Ok(config) => {
        endpoint.set_server_config(Some(config));
        log::info!("agent: reloaded the certificate.");
      }
      Err(fault) => {
        shared.counter.count(fault.code);
        log::error!("agent: cannot reload the certificate, the current one stays: {fault}.");
      }
    }
  }
}

/// Serves a caller's flow until the caller closes it, or all requests have ended after GOAWAY.
async fn serve_connection(shared: Arc<Shared>, incoming: Incoming) {
  let caller = incoming.remote_address();
  let connection = match incoming.await {
    Ok(connection) => connection,
    Err(error) => {
      log::debug!("agent: cannot establish a flow of {caller}: {error}.");
      return shared.counter.add("flows.failed", 1);
    }
  };
  let _open = CountGuard::new(&shared.flows);
  shared.counter.add("flows.opened", 1);
  let transport = connection.clone();
  let built = h3::server::builder()
    .build(h3_quinn::Connection::new(connection))
    .await;
  let Ok(mut connection) = built else {
    return shared.counter.add("flows.failed", 1);
  };
  let mut requests = JoinSet::new();
  let mut goaway_sent = false;
  loop {
    tokio::select! {
      accepted = connection.accept() => match accepted {
        Ok(Some(resolver)) => {
          let caller = transport.remote_address();
          requests.spawn(serve_request(Arc::clone(&shared), caller, resolver));
        }
        Ok(None) => break,
        Err(error) => {
          log::debug!("agent: flow of {caller} was closed, its requests are aborted: {error}.");
          requests.abort_all();
          break;
        }
      },
      () = wait_until_leaving(&shared), if !goaway_sent => {
        goaway_sent = true;
        send_goaway(&mut connection).await;
      }
      Some(_) = requests.join_next() => {}
    }
  }
  while requests.join_next().await.is_some() {}
}

async fn wait_until_leaving(shared: &Shared) {
  let mut changes = shared.leaving.subscribe();
  let _ = changes.wait_for(|leaving| *leaving).await;
}

/// Sends GOAWAY (RFC 9114, 5.2), so that the caller opens a new flow. Requests in flight complete.
async fn send_goaway(connection: &mut Connection<h3_quinn::Connection, Bytes>) {
  let _ = connection.shutdown(0).await;
}

async fn serve_request(
  shared: Arc<Shared>,
  caller: SocketAddr,
  resolver: RequestResolver<h3_quinn::Connection, Bytes>,
) {
  match resolver.resolve_request().await {
    Ok((request, stream)) => proxy::serve(shared, caller, request, stream).await,
    Err(_) => shared.counter.count(Code::RequestMalformed),
  }
}
