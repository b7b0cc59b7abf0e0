//! Settings of the programs, read from TOML files. `samples/` contains a complete file with
//! comments for each program.

mod agent;
mod balancer;

pub use {agent::Agent, balancer::Balancer};

use {
  crate::code::{Code, Fault},
  serde::de::DeserializeOwned,
  std::{
    fs,
    net::{IpAddr, SocketAddr},
    path::Path,
  },
};

/// The local address to bind for an address that others connect to: the IP address `bind`, if set,
/// with the same port.
pub fn bind_address(address: SocketAddr, bind: Option<IpAddr>) -> SocketAddr {
  bind.map_or(address, |ip| SocketAddr::new(ip, address.port()))
}

/// Reads settings from the file `path`. A fault contains the path and the reason, and the line
/// if the content is not valid.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, Fault> {
  let text = fs::read_to_string(path).map_err(|error| {
    Fault::new(
      Code::SettingsUnreadable,
      format!("{}: {error}", path.display()),
    )
  })?;
  toml::from_str(&text).map_err(|error| {
    let line = error
      .span()
      .map_or(0, |span| text[..span.start].matches('\n').count() + 1);
    Fault::new(
      Code::SettingsInvalid,
      format!(
        "{}: line {line}: {}",
        path.display(),
        error.message().replace('\n', " ")
      ),
    )
  })
}

fn ensure(is_valid: bool, detail: &str) -> Result<(), Fault> {
  if is_valid {
    return Ok(());
  }
  Err(Fault::new(Code::SettingsInvalid, detail))
}

/// Whether only processes on the same host can connect to an address, so that no authentication is
/// required.
fn is_loopback(address: SocketAddr) -> bool {
  address.ip().is_loopback()
}
