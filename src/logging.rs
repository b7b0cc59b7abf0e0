//! Structured logs on standard output: one line of text or JSON each, never waited for.

mod lines;

use {
  crate::code::{Code, Fault},
  logforth::record::{Level, LevelFilter},
  serde::{Deserialize, Serialize},
};

pub use lines::{due, flush, flush_if_due};

/// How a process logs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
  /// How lines are written.
  pub format: Format,
  /// The least severe level that is written: `error`, `warn`, `info` or `debug`.
  pub level: String,
}

/// How lines are written.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
  /// One JSON object a line.
  Json,
  /// Plain text.
  Text,
}

impl Default for Settings {
  fn default() -> Self {
    Self {
      format: Format::Text,
      level: "info".into(),
    }
  }
}

/// Starts logging; once a process.
pub fn start(settings: &Settings) -> Result<(), Fault> {
  let level = match settings.level.as_str() {
    "error" => Level::Error,
    "warn" => Level::Warn,
    "info" => Level::Info,
    "debug" => Level::Debug,
    other => {
      return Err(Fault::new(
        Code::SettingsInvalid,
        format!("found `{other}`, expected `error`, `warn`, `info` or `debug`, in `log.level`"),
      ));
    }
  };
  let filter = LevelFilter::MoreSevereEqual(level);
  let format = settings.format;
  let builder = logforth::starter_log::builder()
    .dispatch(|dispatch| dispatch.filter(filter).append(lines::Lines::new(format)));
  // A process that runs several roles starts it once; the others find it started.
  let _ = builder.try_apply();
  Ok(())
}
