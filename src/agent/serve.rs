use {
  super::{Shared, generator::Generator, guard::Guard, handoff, pipe::Pipe, proxy, tls},
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

/// How often a waiting task looks whether something has changed.
const STEP: Duration = Duration::from_millis(50);

/// How long the last words of a stopping agent may take.
const FAREWELL: Duration = Duration::from_millis(500);

/// Threads of the transport and the requests.
const THREADS: usize = 2;

/// Serves callers until it is told to stop.
pub fn run(shared: &Arc<Shared>, stop: &Stop) -> Result<(), Fault> {
  let runtime = runtime::Builder::new_multi_thread()
    .worker_threads(THREADS)
    .enable_all()
    .build()
    .map_err(|error| Fault::new(Code::ChildFailed, error))?;
  runtime.block_on(serve(shared, stop))
}

async fn serve(shared: &Arc<Shared>, stop: &Stop) -> Result<(), Fault> {
  let server = tls::server(shared)?;
  let secret = loop {
    if stop.is_set() {
      return Ok(());
    }
    if let Some(tagger) = shared.tagger() {
      break *tagger.secret();
    }
    tokio::time::sleep(STEP).await;
  };
  let mut config = tls::endpoint(&secret, shared);
  let generator = Arc::clone(shared);
  config.cid_generator(move || Box::new(Generator::new(Arc::clone(&generator))));
  let pipe = Arc::new(Pipe::new(Arc::clone(shared)));
  let endpoint =
    Endpoint::new_with_abstract_socket(config, Some(server), pipe, Arc::new(TokioRuntime))
      .map_err(|error| Fault::new(Code::ChildFailed, error))?;
  shared.serving.store(true, Ordering::Relaxed);
  let result = tokio::select! {
    () = accept(shared, &endpoint) => Ok(()),
    result = handoff::serve(Arc::clone(shared)) => result,
    () = reload(shared, &endpoint) => Ok(()),
    () = shared.slots.run() => Ok(()),
    () = stop.wait() => Ok(()),
  };
  endpoint.close(VarInt::from_u32(0), b"stopped");
  let _ = tokio::time::timeout(FAREWELL, endpoint.wait_idle()).await;
  result
}

async fn accept(shared: &Arc<Shared>, endpoint: &Endpoint) {
  while let Some(incoming) = endpoint.accept().await {
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
      connection(shared, incoming).await;
    });
  }
}

/// Takes a new certificate for new flows; the established ones keep theirs.
async fn reload(shared: &Arc<Shared>, endpoint: &Endpoint) {
  loop {
    tokio::time::sleep(STEP).await;
    if !shared.reload.swap(false, Ordering::Relaxed) {
      continue;
    }
    match tls::server(shared) {
      Ok(config) => {
        endpoint.set_server_config(Some(config));
        log::info!("agent: certificate read again.");
      }
      Err(fault) => {
        shared.counter.count(fault.code);
        log::error!("agent: certificate kept: {fault}.");
      }
    }
  }
}

async fn connection(shared: Arc<Shared>, incoming: Incoming) {
  let connection = match incoming.await {
    Ok(connection) => connection,
    Err(error) => {
      log::debug!("agent: flow failed: {error}.");
      return shared.counter.add("flows.failed", 1);
    }
  };
  let _open = Guard::new(&shared.flows);
  shared.counter.add("flows.opened", 1);
  let transport = connection.clone();
  let built = h3::server::builder()
    .build(h3_quinn::Connection::new(connection))
    .await;
  let Ok(mut connection) = built else {
    return shared.counter.add("flows.failed", 1);
  };
  let mut requests = JoinSet::new();
  let mut told = false;
  loop {
    tokio::select! {
      accepted = connection.accept() => match accepted {
        Ok(Some(resolver)) => {
          let caller = transport.remote_address();
          requests.spawn(request(Arc::clone(&shared), caller, resolver));
        }
        Ok(None) => break,
        Err(error) => {
          log::debug!("agent: flow ended: {error}.");
          requests.abort_all();
          break;
        }
      },
      () = leaving(&shared), if !told => {
        told = true;
        tell(&mut connection).await;
      }
      Some(_) = requests.join_next() => {}
    }
  }
  while requests.join_next().await.is_some() {}
}

async fn leaving(shared: &Shared) {
  let mut changes = shared.leaving.subscribe();
  let _ = changes.wait_for(|leaving| *leaving).await;
}

/// Asks a caller to move: GOAWAY (RFC 9114, 5.2). What runs goes on.
async fn tell(connection: &mut Connection<h3_quinn::Connection, Bytes>) {
  let _ = connection.shutdown(0).await;
}

async fn request(
  shared: Arc<Shared>,
  caller: SocketAddr,
  resolver: RequestResolver<h3_quinn::Connection, Bytes>,
) {
  match resolver.resolve_request().await {
    Ok((request, stream)) => proxy::run(shared, caller, request, stream).await,
    Err(_) => shared.counter.count(Code::RequestMalformed),
  }
}
