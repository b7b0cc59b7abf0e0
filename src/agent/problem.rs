use {
  crate::Code,
  bytes::Bytes,
  http::{Response, StatusCode, header},
  serde_json::json,
};

/// The agent's own answer that a request failed: a problem document (RFC 9457) with a result code
/// and a `Retry-After` header.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Problem {
  /// The result code, also sent in the `fallwell-code` header.
  pub code: Code,
  /// When the caller may retry, in seconds from now.
  pub retry_after: u32,
}

impl Problem {
  /// Creates a problem that may be retried after a second.
  pub fn new(code: Code) -> Self {
    Self {
      code,
      retry_after: 1,
    }
  }

  /// Creates the refusal of a request for which no slot is free. `retry_after` is in whole seconds,
  /// except for a request that a peer handed off: it is then rounded up, and no caller is told it.
  pub fn busy(retry_after: std::time::Duration) -> Self {
    Self {
      code: Code::RequestSlotsFull,
      retry_after: retry_after.as_millis().div_ceil(1000).max(1) as u32,
    }
  }

  /// The HTTP status: 504 if the request may have run, otherwise one that tells why it was not run.
  pub fn status(self) -> StatusCode {
    match self.code {
      Code::FrameForged => StatusCode::FORBIDDEN,
      Code::FrameWrongService | Code::FrameWrongTarget | Code::RequestKeyMoved => {
        StatusCode::MISDIRECTED_REQUEST
      }
      Code::RequestKeyReused => StatusCode::UNPROCESSABLE_ENTITY,
      Code::RequestMalformed => StatusCode::BAD_REQUEST,
      Code::RequestOutcomeUnknown => StatusCode::GATEWAY_TIMEOUT,
      Code::RequestOversized => StatusCode::PAYLOAD_TOO_LARGE,
      _ => StatusCode::SERVICE_UNAVAILABLE,
    }
  }

  /// Builds the head and the JSON body.
  pub fn response(self) -> (Response<()>, Bytes) {
    let status = self.status();
    let body = json!({
      "code": self.code.number(),
      "detail": self.code.text(),
      "status": status.as_u16(),
      "title": status.canonical_reason(),
    });
    let mut response = Response::new(());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
      header::CONTENT_TYPE,
      header::HeaderValue::from_static("application/problem+json"),
    );
    headers.insert("fallwell-code", self.code.number().into());
    headers.insert(header::RETRY_AFTER, self.retry_after.into());
    (response, Bytes::from(body.to_string()))
  }
}
