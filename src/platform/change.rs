use {
  crate::{
    Revision,
    code::{Code, Fault},
    config::{Key, Record},
    web,
  },
  http::{Method, StatusCode},
  serde::{Deserialize, Serialize},
  std::{net::SocketAddr, time::Duration},
};

/// One change of a document, as the platform gives it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Change {
  /// The document's name.
  pub key: String,
  /// The revision of the change.
  pub revision: Revision,
  /// The document's text; none when it was deleted.
  pub text: Option<String>,
}

/// An answer to a watch.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Changes {
  /// What changed, in the order of revisions.
  pub changes: Vec<Change>,
  /// The revision up to which this answer is complete.
  pub revision: Revision,
}

impl Changes {
  /// Asks for what changed after a revision under `keys`, or under any where none is named; the
  /// platform waits up to `wait` for something.
  pub async fn watch(
    platform: SocketAddr,
    after: Revision,
    keys: &[Key],
    wait: Duration,
  ) -> Result<Self, Fault> {
    let mut path = format!("/v1/watch?after={after}&wait_ms={}", wait.as_millis());
    if !keys.is_empty() {
      let keys = keys.iter().map(ToString::to_string).collect::<Vec<_>>();
      path.push_str("&keys=");
      path.push_str(&keys.join(","));
    }
    let limit = wait + Duration::from_secs(2);
    let (status, body) = web::request(platform, Method::GET, &path, "", limit).await?;
    if status != StatusCode::OK {
      return Err(Fault::new(
        Code::PlatformUnreachable,
        format!("{platform}: status {status}"),
      ));
    }
    serde_json::from_slice(&body)
      .map_err(|error| Fault::new(Code::DocumentUnreadable, format!("{platform}: {error}")))
  }

  /// The changes whose key is of a known kind, and the faults of the others.
  pub fn records(self) -> (Vec<Record>, Vec<Fault>) {
    let mut records = Vec::new();
    let mut faults = Vec::new();
    for change in self.changes {
      match change.key.parse::<Key>() {
        Ok(key) => records.push(Record::new(key, change.revision, change.text)),
        Err(fault) => faults.push(fault),
      }
    }
    (records, faults)
  }
}
