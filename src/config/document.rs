use {
  super::{Instance, Key, Keyring, Service},
  crate::code::{Code, Fault},
  serde::de::DeserializeOwned,
};

/// The largest document, in bytes: the platform's limit on a value.
pub const SIZE_LIMIT: usize = 1 << 20;

/// A document that has been read and checked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Document {
  /// An entry of the list of instances.
  Instance(Instance),
  /// The tag secrets.
  Keyring(Keyring),
  /// A service.
  Service(Service),
}

impl Document {
  /// Reads and checks the JSON text that stands under `key`.
  pub fn read(key: Key, text: &str) -> Result<Self, Fault> {
    if text.len() > SIZE_LIMIT {
      return Err(Fault::new(
        Code::DocumentOversized,
        format!(
          "{key}: found {} bytes, expected {SIZE_LIMIT} at most",
          text.len()
        ),
      ));
    }
    match key {
      Key::Instance(id) => {
        let instance = parse::<Instance>(key, text)?;
        same(key, instance.id == id)?;
        Ok(Self::Instance(instance))
      }
      Key::Keyring => {
        let keyring = parse::<Keyring>(key, text)?;
        keyring.check()?;
        Ok(Self::Keyring(keyring))
      }
      Key::Service(id) => {
        let service = parse::<Service>(key, text)?;
        same(key, service.id == id)?;
        service.check()?;
        Ok(Self::Service(service))
      }
    }
  }
}

fn parse<T: DeserializeOwned>(key: Key, text: &str) -> Result<T, Fault> {
  serde_json::from_str(text)
    .map_err(|error| Fault::new(Code::DocumentUnreadable, format!("{key}: {error}")))
}

fn same(key: Key, equal: bool) -> Result<(), Fault> {
  if equal {
    return Ok(());
  }
  Err(Fault::new(
    Code::DocumentIdMismatch,
    format!("{key}: `id` in the document differs"),
  ))
}
