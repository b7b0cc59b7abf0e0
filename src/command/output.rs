use {
  super::invalid_argument,
  crate::code::{Code, Fault},
  pico_args::Arguments,
  std::str::FromStr,
};

/// The output format of a verb.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Output {
  /// Indented JSON.
  Json,
  /// Plain text, in columns where there are several rows.
  Table,
}

impl Output {
  /// Parses `--output`; the default is a table.
  pub fn from_arguments(arguments: &mut Arguments) -> Result<Self, Fault> {
    let output = arguments
      .opt_value_from_str("--output")
      .map_err(invalid_argument)?;
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
