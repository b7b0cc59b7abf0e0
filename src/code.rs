//! Numbered result codes. `docs/RESULTS.md` lists each with its cause and its remedy.

use {
  serde::{Deserialize, Serialize},
  std::fmt::{self, Display, Formatter},
};

macro_rules! codes {
  ($($name:ident = $number:literal, $text:literal;)*) => {
    /// A result code: 100 to 199 concern documents and settings, 200 to 299 packets and frames,
    /// 300 to 399 requests, and 400 to 499 processes.
    #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
    pub enum Code {
      $(#[doc = $text] $name,)*
    }

    impl Code {
      /// All codes, ordered by number.
      pub const ALL: &[Self] = &[$(Self::$name,)*];

      /// The number that identifies the code in the documentation and in messages.
      pub fn number(self) -> u16 {
        match self {
          $(Self::$name => $number,)*
        }
      }

      /// A short description, in lower case.
      pub fn text(self) -> &'static str {
        match self {
          $(Self::$name => $text,)*
        }
      }

      /// The code with this number; none if it is not assigned.
      pub fn from_number(number: u16) -> Option<Self> {
        match number {
          $($number => Some(Self::$name),)*
          _ => None,
        }
      }
    }
  };
}

codes! {
  DocumentUnreadable = 101, "document is not valid json of its kind";
  DocumentKeyUnknown = 102, "key names no kind of document";
  DocumentOversized = 103, "document is larger than the limit";
  DocumentWithoutTargets = 104, "service names no target";
  DocumentTargetTwice = 105, "service names a target or an agent address twice";
  DocumentOutOfRange = 106, "value is out of its range";
  DocumentIdMismatch = 107, "document's id differs from its key";
  DocumentAddressTaken = 108, "address belongs to a service with a lower id";
  RevisionOlder = 109, "revision is not newer than the one held";
  DocumentOrderUnknown = 110, "key or field is not known to this version and has no effect";
  DocumentEntryUnreadable = 111, "entry of the list cannot be read and names no target";
  SettingsUnreadable = 121, "settings file cannot be read";
  SettingsInvalid = 122, "settings are not valid";
  ArgumentInvalid = 131, "argument is not valid";
  PacketTooShort = 201, "packet is too short to be routed";
  PacketUnroutable = 202, "no target may take the packet";
  FrameTruncated = 203, "frame ends before its header does";
  FrameVersionUnknown = 204, "frame is of an unknown version";
  FrameKeyUnknown = 205, "frame's tag key is unknown";
  FrameForged = 206, "frame's tag does not fit";
  FrameWrongService = 207, "frame is for another service";
  FrameWrongTarget = 208, "frame is for another target";
  FrameWrongIncarnation = 209, "frame is for an earlier run of the target";
  FlowUnknown = 210, "flow is unknown and may not be opened";
  TargetLeaving = 211, "target is leaving";
  TargetFull = 212, "target holds all the flows that it may";
  HopsExceeded = 213, "packet was passed on too often";
  QueueFull = 214, "queue is full";
  SendFailed = 215, "packet could not be sent";
  RequestUpstreamUnreachable = 301, "upstream cannot be reached; the request was not run";
  RequestOutcomeUnknown = 302, "upstream gave no whole answer; the outcome is unknown";
  RequestTargetLeaving = 303, "target is leaving; the request was not run";
  RequestSlotsFull = 304, "all slots are taken; the request was not run";
  RequestOversized = 305, "request body is larger than the limit; the request was not run";
  RequestMalformed = 306, "request is malformed; the request was not run";
  RequestCancelled = 307, "caller gave the request up";
  RequestDeadline = 308, "request's deadline passed before it was run; the request was not run";
  RequestLedgerFull = 309, "memory for keys is full; the request was not run";
  RequestHomeUnreachable = 310, "the key's target cannot be reached; the request was not run";
  RequestKeyReused = 311, "key was used for another request; the request was not run";
  RequestKeyMoved = 312, "key has moved to another target";
  PlatformUnreachable = 401, "platform cannot be reached";
  PlatformStale = 402, "platform offered an older revision than the one held";
  PeerUnreachable = 403, "peer cannot be reached";
  ChildFailed = 404, "supervised part failed and is started again";
  ChildGivenUp = 405, "supervised part failed too often";
  NotReady = 406, "process has no configuration in force yet";
  InvariantBroken = 407, "asserted invariant did not hold";
  AddressUnavailable = 408, "address cannot be bound";
  TlsInvalid = 409, "certificate or key is not valid";
  WaitTimedOut = 410, "generation is not in force everywhere";
}

impl Display for Code {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "F{} {}", self.number(), self.text())
  }
}

/// An error: a result code with details.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
#[error("{code}: {detail}")]
pub struct Fault {
  /// The kind of error.
  pub code: Code,
  /// What was found, what was expected, and where, such as the path of a file.
  pub detail: String,
}

impl Fault {
  /// Creates a fault of `code` with the text of `detail`.
  pub fn new(code: Code, detail: impl Display) -> Self {
    Self {
      code,
      detail: detail.to_string(),
    }
  }
}
