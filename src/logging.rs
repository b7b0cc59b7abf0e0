//! Structured logging to standard output, one line of text or JSON per record. Logging never
//! blocks: lines are dropped if there are too many, or if standard output is too slow.

mod lines;

use {
  crate::code::{Code, Fault},
  logforth::record::{Level, LevelFilter},
  serde::{Deserialize, Serialize},
};

pub use lines::{defer_flush, flush, flush_if_due};

/// Settings of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
  /// The format of the lines.
  pub format: Format,
  /// The least severe level that is written: `error`, `warn`, `info` or `debug`.
  pub level: String,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Format {
  /// One JSON object per line.
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

/// Installs the logger of the process; fails if the level is unknown.
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
  let builder = logforth::starter_log::builder().dispatch(|dispatch| {
    dispatch
      .filter(filter)
      .append(lines::LineAppender::new(format))
  });
  // Fails if a logger is installed already, by another role in the same process: that one is kept.
  let _ = builder.try_apply();
  Ok(())
}
