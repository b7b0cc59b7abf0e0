use {
  crate::code::{Code, Fault},
  serde::{Deserialize, Serialize},
};

/// The maximum number of secrets in a keyring.
const SECRETS_MAX: usize = 4;

/// The secrets that connection IDs and frames are tagged with. New tags are made with the current
/// one; tags made with any of them are accepted. To rotate, add a secret, make it current once
/// every process has it, and remove the old one once every connection ID made with it has been
/// replaced.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Keyring {
  /// The id of the secret with which new tags are made.
  pub current: u8,
  /// All accepted secrets.
  pub secrets: Vec<Secret>,
}

/// One secret of a keyring.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Secret {
  /// The secret's id, which each tag contains.
  pub id: u8,
  /// 16 random bytes as 32 hexadecimal digits.
  pub value: String,
}

impl Keyring {
  /// Fails with `DocumentOutOfRange` when the number of secrets or one of their values is invalid,
  /// or `current` names none of them.
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
  /// Decodes the value, or fails with `DocumentOutOfRange` if it is not 32 hexadecimal digits.
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
