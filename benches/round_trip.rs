//! The latency that balancers and agents add to a request, compared with a plain HTTP/3 server
//! between the same caller and upstream.

#[path = "../tests/support/mod.rs"]
#[allow(dead_code, reason = "shared with the tests")]
mod support;

use {
  bytes::Bytes,
  fallwell::{caller::Caller, web},
  hdrhistogram::Histogram,
  http::{Method, Response},
  quinn::crypto::rustls::QuicServerConfig,
  rustls::pki_types::{CertificateDer, PrivateKeyDer},
  std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
  },
  support::fleet::{Fleet, SERVER_NAME},
};

const REQUESTS: u32 = 4000;

/// Starts a plain HTTP/3 server that forwards each request to the upstream, and returns its address
/// and certificate.
fn start_plain_server(upstream: SocketAddr) -> (SocketAddr, CertificateDer<'static>) {
  let certificate_and_key =
    rcgen::generate_simple_self_signed([SERVER_NAME.to_owned()]).expect("certificate");
  let key = PrivateKeyDer::try_from(certificate_and_key.signing_key.serialize_der()).expect("key");
  let provider = Arc::new(rustls::crypto::ring::default_provider());
  let mut tls = rustls::ServerConfig::builder_with_provider(provider)
    .with_protocol_versions(&[&rustls::version::TLS13])
    .expect("versions")
    .with_no_client_auth()
    .with_single_cert(vec![certificate_and_key.cert.der().clone()], key)
    .expect("certificate");
  tls.alpn_protocols = vec![b"h3".to_vec()];
  let crypto = QuicServerConfig::try_from(tls).expect("tls");
  let config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
  let local = SocketAddr::from(([127, 0, 0, 1], 0));
  let endpoint = quinn::Endpoint::server(config, local).expect("endpoint");
  let address = endpoint.local_addr().expect("address");
  tokio::spawn(async move {
    while let Some(incoming) = endpoint.accept().await {
      tokio::spawn(async move {
        let connection = incoming.await.expect("connection");
        let connection = h3_quinn::Connection::new(connection);
        let mut connection = h3::server::Connection::<_, Bytes>::new(connection)
          .await
          .expect("http/3");
        while let Ok(Some(resolver)) = connection.accept().await {
          tokio::spawn(async move {
            let (request, mut stream) = resolver.resolve_request().await.expect("request");
            let path = request
              .uri()
              .path_and_query()
              .expect("path")
              .as_str()
              .to_owned();
            let limit = Duration::from_secs(5);
            let answer = web::request(upstream, Method::GET, &path, "", limit).await;
            let (_, body) = answer.expect("answer");
            stream.send_response(Response::new(())).await.expect("head");
            stream.send_data(body).await.expect("body");
            stream.finish().await.expect("end");
          });
        }
      });
    }
  });
  (address, certificate_and_key.cert.der().clone())
}

async fn measure(caller: &Caller) -> Histogram<u64> {
  let mut latencies_us = Histogram::new(3).expect("histogram");
  for _ in 0..REQUESTS {
    let started = Instant::now();
    let answer = caller.request(Method::GET, "/bytes?n=100", &[], "").await;
    assert_eq!(answer.expect("answer").body.len(), 100);
    latencies_us
      .record(started.elapsed().as_micros() as u64)
      .expect("time");
  }
  latencies_us
}

#[tokio::main]
async fn main() {
  let fleet = Fleet::new().balancers(2).service(1, 1).start().await;
  let (address, certificate) = start_plain_server(fleet.upstream_address(1, 1));
  let direct = Caller::open(address, SERVER_NAME, &[certificate])
    .await
    .expect("flow");
  let balanced = fleet.caller(1).await;
  println!(
    "{REQUESTS} requests one after another, microseconds (the fabric stand-in is in the way of the second only):"
  );
  for round in 1..=2 {
    for (name, caller) in [("bare server", &direct), ("fallwell", &balanced)] {
      let latencies_us = measure(caller).await;
      println!(
        "  round {round}, {name:>11}: p50 {:>5}, p99 {:>5}, p999 {:>6}",
        latencies_us.value_at_quantile(0.5),
        latencies_us.value_at_quantile(0.99),
        latencies_us.value_at_quantile(0.999)
      );
    }
  }
}
