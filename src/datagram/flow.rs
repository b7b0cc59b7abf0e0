use {
  serde::{Deserialize, Serialize},
  std::{
    fmt::{self, Display, Formatter},
    net::SocketAddrV4,
    str::FromStr,
  },
  xxhash_rust::xxh3::xxh3_64,
};

/// The identity of a flow: the addresses of both ends, as in its caller's packets.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Flow {
  /// The caller's address and port.
  pub caller: SocketAddrV4,
  /// The address and port of the route that it was opened to.
  pub route: SocketAddrV4,
}

impl Flow {
  /// A hash of the flow that doesn't depend on the process or build.
  pub fn key(&self) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&self.caller.ip().octets());
    bytes[4..6].copy_from_slice(&self.caller.port().to_be_bytes());
    bytes[6..10].copy_from_slice(&self.route.ip().octets());
    bytes[10..].copy_from_slice(&self.route.port().to_be_bytes());
    xxh3_64(&bytes)
  }
}

impl Display for Flow {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{}>{}", self.caller, self.route)
  }
}

/// The error of a text that isn't a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("expected `<caller>><route>`, such as `192.0.2.7:40001>198.51.100.1:443`")]
pub struct FlowInvalid;

impl FromStr for Flow {
  type Err = FlowInvalid;

  fn from_str(text: &str) -> Result<Self, FlowInvalid> {
    let (caller, route) = text.split_once('>').ok_or(FlowInvalid)?;
    Ok(Self {
      caller: caller.parse().map_err(|_| FlowInvalid)?,
      route: route.parse().map_err(|_| FlowInvalid)?,
    })
  }
}
