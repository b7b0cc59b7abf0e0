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

/// One change of a document, as reported by the platform.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Change {
  /// The key that the document is stored under, such as `service/1`.
  pub key: String,
  /// The revision that the change created.
  pub revision: Revision,
  /// The document's new text; none if it was deleted.
  pub text: Option<String>,
}

/// The response to a watch request.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Changes {
  /// The changes, ordered by revision.
  pub changes: Vec<Change>,
  /// The revision up to which this response is complete: the next watch starts after it.
  pub revision: Revision,
}

impl Changes {
  /// Requests the changes after revision `after` of the documents in `keys`, or of all documents if
  /// `keys` is empty. If there are none yet, the platform delays its response by up to `wait`.
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
    let timeout = wait + Duration::from_secs(2);
    let (status, body) = web::request(platform, Method::GET, &path, "", timeout).await?;
    if status != StatusCode::OK {
      return Err(Fault::new(
        Code::PlatformUnreachable,
        format!("{platform}: status {status}"),
      ));
    }
    serde_json::from_slice(&body)
      .map_err(|error| Fault::new(Code::DocumentUnreadable, format!("{platform}: {error}")))
  }

  /// Converts the changes into records; returns a fault for each key that is not valid.
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
