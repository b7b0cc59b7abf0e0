use {
  super::invalid,
  crate::code::{Code, Fault},
  pico_args::Arguments,
  std::str::FromStr,
};

/// How a verb writes what it found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Output {
  /// As JSON.
  Json,
  /// As lines of columns.
  Table,
}

impl Output {
  /// Takes `--output` from the arguments; a table is the default.
  pub fn take(arguments: &mut Arguments) -> Result<Self, Fault> {
    let output = arguments.opt_value_from_str("--output").map_err(invalid)?;
    Ok(output.unwrap_or(Self::Table))
  }
}

impl FromStr for Output {
  type Err = Fault;

  fn from_str(text: &str) -> Result<Self, Fault> {
    match text {
      "json" => Ok(Self::Json),
      "table" => Ok(Self::Table),
      _ => Err(Fault::new(
        Code::ArgumentInvalid,
        format!("found `{text}`, expected `json` or `table`"),
      )),
    }
  }
}
