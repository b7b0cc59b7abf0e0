//! Metrics to a `StatsD` server over UDP.

use {
  crate::{
    code::{Code, Fault},
    counter::Counter,
    supervisor::Stop,
  },
  cadence::{Counted, Gauged, StatsdClient, UdpMetricSink},
  serde_json::Value,
  std::{
    collections::BTreeMap,
    net::{SocketAddr, UdpSocket},
    time::Duration,
  },
};

/// How often metrics are sent.
const PERIOD: Duration = Duration::from_secs(10);

/// Sends the counts that rose and the numbers of the state until it is told to stop.
pub fn run(
  server: SocketAddr,
  counter: &Counter,
  state: impl Fn() -> Value,
  stop: &Stop,
) -> Result<(), Fault> {
  let client = client(server)?;
  let mut sent: BTreeMap<String, u64> = BTreeMap::new();
  while !stop.wait_for(PERIOD) {
    for (name, count) in counter.snapshot() {
      let before = sent.insert(name.clone(), count).unwrap_or(0);
      let _ = client.count(&name, count - before);
    }
    let state = state();
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
