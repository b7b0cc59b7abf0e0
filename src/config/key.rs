use {
  crate::{
    code::{Code, Fault},
    id,
  },
  serde::{Deserialize, Serialize},
  std::{
    fmt::{self, Display, Formatter},
    str::FromStr,
  },
};

/// The key under which the platform stores a document.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Key {
  /// `instance/<id>`: an entry of the list of instances.
  Instance(id::Instance),
  /// `keyring`: the tag secrets.
  Keyring,
  /// `service/<id>`: one service.
  Service(id::Service),
}

impl Display for Key {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    match self {
      Self::Instance(id) => write!(f, "instance/{id}"),
      Self::Keyring => f.write_str("keyring"),
      Self::Service(id) => write!(f, "service/{id}"),
    }
  }
}

impl FromStr for Key {
  type Err = Fault;

  fn from_str(text: &str) -> Result<Self, Fault> {
    let unknown = || {
      Fault::new(
        Code::DocumentKeyUnknown,
        format!("found `{text}`, expected `instance/<id>`, `keyring` or `service/<id>`"),
      )
    };
    if text == "keyring" {
      return Ok(Self::Keyring);
    }
    let (kind, id) = text.split_once('/').ok_or_else(unknown)?;
    match kind {
      "instance" => id.parse().map(Self::Instance).map_err(|_| unknown()),
      "service" => id.parse().map(Self::Service).map_err(|_| unknown()),
      _ => Err(unknown()),
    }
  }
}
