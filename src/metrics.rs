//! Sends metrics to a `StatsD` server over UDP.

use {
  crate::{
    code::{Code, Fault},
    counter::Counter,
    state::Registry,
    supervisor::{Stop, Tree},
  },
  cadence::{Counted, Gauged, StatsdClient, UdpMetricSink},
  std::{
    collections::BTreeMap,
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
  },
};

/// The interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Starts the part that sends metrics; does nothing without a server.
pub fn start(
  server: Option<SocketAddr>,
  counter: &Arc<Counter>,
  registry: &Registry,
  tree: &mut Tree,
) -> Result<(), Fault> {
  let Some(server) = server else {
    return Ok(());
  };
  let (counter, registry) = (Arc::clone(counter), registry.clone());
  tree.start("metrics", move |stop| {
    run(server, &counter, &registry, stop)
  })
}

/// Reports the increments of the counters, and as gauges the integer fields of the `path` part's
/// state, until `stop` is set.
fn run(
  server: SocketAddr,
  counter: &Counter,
  registry: &Registry,
  stop: &Stop,
) -> Result<(), Fault> {
  let client = client(server)?;
  let mut sent: BTreeMap<String, u64> = BTreeMap::new();
  while !stop.wait_for(REPORT_INTERVAL) {
    for (name, count) in counter.snapshot() {
      let previous = sent.insert(name.clone(), count).unwrap_or(0);
      let _ = client.count(&name, count - previous);
    }
    let state = registry.all();
    for (name, value) in state["path"].as_object().into_iter().flatten() {
      if let Some(value) = value.as_u64() {
        let _ = client.gauge(&format!("path.{name}"), value);
      }
    }
  }
  Ok(())
}

fn client(server: SocketAddr) -> Result<StatsdClient, Fault> {
  let failed = |error: &dyn std::fmt::Display| {
    Fault::new(Code::AddressUnavailable, format!("{server}: {error}"))
  };
  let local = SocketAddr::new(
    if server.is_ipv4() {
      std::net::Ipv4Addr::UNSPECIFIED.into()
    } else {
      std::net::Ipv6Addr::UNSPECIFIED.into()
    },
    0,
  );
  let socket = UdpSocket::bind(local).map_err(|error| failed(&error))?;
  let sink = UdpMetricSink::from(server, socket).map_err(|error| failed(&error))?;
  Ok(StatsdClient::from_sink("fallwell", sink))
}
