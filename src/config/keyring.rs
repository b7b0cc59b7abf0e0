use {
  crate::code::{Code, Fault},
  serde::{Deserialize, Serialize},
};

/// How many secrets a keyring may hold.
const SECRETS_MAX: usize = 4;

/// The secrets that connection IDs and frames are tagged with. All are accepted, the current one
/// makes new tags. A secret is added, made current once every process holds it, and removed once
/// every connection ID made with it has been replaced.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Keyring {
  /// The id of the secret that new tags are made with.
  pub current: u8,
  /// All accepted secrets.
  pub secrets: Vec<Secret>,
}

/// One secret of a keyring.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Secret {
  /// Its id, carried in each tag.
  pub id: u8,
  /// 16 random bytes as 32 hexadecimal digits.
  pub value: String,
}

impl Keyring {
  /// Checks ranges and that the current secret is there.
  pub fn check(&self) -> Result<(), Fault> {
    if self.secrets.is_empty() || self.secrets.len() > SECRETS_MAX {
      return Err(Fault::new(
        Code::DocumentOutOfRange,
        format!(
          "found {} secrets, expected 1 to {SECRETS_MAX}, in `secrets`",
          self.secrets.len()
        ),
      ));
    }
    for secret in &self.secrets {
      secret.bytes()?;
    }
    if !self.secrets.iter().any(|secret| secret.id == self.current) {
      return Err(Fault::new(
        Code::DocumentOutOfRange,
        format!(
          "found `current` {}, expected the id of a secret",
          self.current
        ),
      ));
    }
    Ok(())
  }
}

impl Secret {
  /// The secret's bytes.
  pub fn bytes(&self) -> Result<[u8; 16], Fault> {
    let invalid = || {
      Fault::new(
        Code::DocumentOutOfRange,
        format!(
          "secret {}: expected 32 hexadecimal digits in `value`",
          self.id
        ),
      )
    };
    if self.value.len() != 32 || !self.value.is_ascii() {
      return Err(invalid());
    }
    u128::from_str_radix(&self.value, 16)
      .map(u128::to_be_bytes)
      .map_err(|_| invalid())
  }
}
