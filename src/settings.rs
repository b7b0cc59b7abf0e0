//! Settings of the programs, read from TOML files. A full commented sample of each stands in
//! `samples/`.

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

/// The address to bind for a listed one: another IP number, where settings name it, and the same
/// port.
pub fn bound(listed: SocketAddr, bind: Option<IpAddr>) -> SocketAddr {
  bind.map_or(listed, |ip| SocketAddr::new(ip, listed.port()))
}

/// Reads the settings in `path`; a fault names the file, the line and the key.
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

fn check(holds: bool, detail: &str) -> Result<(), Fault> {
  if holds {
    return Ok(());
  }
  Err(Fault::new(Code::SettingsInvalid, detail))
}

/// Whether an address may be listened on without asking who calls.
fn is_local(address: SocketAddr) -> bool {
  address.ip().is_loopback()
}
