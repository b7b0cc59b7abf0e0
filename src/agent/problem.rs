use {
  crate::Code,
  bytes::Bytes,
  http::{Response, StatusCode, header},
  serde_json::json,
};

/// A final answer of the agent's own: a problem document (RFC 9457) with its result code, and when
/// to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Problem {
  /// The result code.
  pub code: Code,
  /// When to come back, in seconds.
  pub retry_after: u32,
}

impl Problem {
  /// The problem of a code, with a short time to come back.
  pub fn new(code: Code) -> Self {
    Self {
      code,
      retry_after: 1,
    }
  }

  /// The refusal of a busy target, with the time until it may be free, in whole seconds.
  pub fn busy(come_back: std::time::Duration) -> Self {
    Self {
      code: Code::RequestSlotsFull,
      retry_after: come_back.as_millis().div_ceil(1000).max(1) as u32,
    }
  }

  /// The status: 503 only where the request was certainly not run, 504 where that is unknown.
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

  /// The answer's head and body.
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
