use {
  super::{Instance, Key, Keyring, Service},
  crate::code::{Code, Fault},
  serde::de::DeserializeOwned,
};

/// The largest document in bytes, which is the platform's limit on a value.
pub const SIZE_LIMIT: usize = 1 << 20;

/// A parsed and validated document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Document {
  /// A process of the system.
  Instance(Instance),
  /// The secrets that connection IDs and frames are tagged with.
  Keyring(Keyring),
  /// A service with its targets.
  Service(Service),
}

impl Document {
  /// Parses and validates the JSON text stored under `key`.
  ///
  /// Fails when the text is too long, is not valid JSON of its kind, has another id than the key,
  /// or has a value out of range.
  pub fn parse(key: Key, text: &str) -> Result<Self, Fault> {
    if text.len() > SIZE_LIMIT {
      return Err(Fault::new(
        Code::DocumentOversized,
        format!(
          "{key}: found {} bytes, expected at most {SIZE_LIMIT}",
          text.len()
        ),
      ));
    }
    match key {
      Key::Instance(id) => {
        let instance = parse_json::<Instance>(key, text)?;
        check_id(key, instance.id == id)?;
        Ok(Self::Instance(instance))
      }
      Key::Keyring => {
        let keyring = parse_json::<Keyring>(key, text)?;
        keyring.check()?;
        Ok(Self::Keyring(keyring))
      }
      Key::Service(id) => {
        let service = parse_json::<Service>(key, text)?;
        check_id(key, service.id == id)?;
        service.check()?;
        Ok(Self::Service(service))
      }
    }
  }
}

fn parse_json<T: DeserializeOwned>(key: Key, text: &str) -> Result<T, Fault> {
  serde_json::from_str(text)
    .map_err(|error| Fault::new(Code::DocumentUnreadable, format!("{key}: {error}")))
}

fn check_id(key: Key, matches: bool) -> Result<(), Fault> {
  if matches {
    return Ok(());
  }
  Err(Fault::new(
    Code::DocumentIdMismatch,
    format!("{key}: `id` in the document differs from the key"),
  ))
}
