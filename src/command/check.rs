use {
  super::{invalid_argument, reject_unused},
  crate::{
    code::{Code, Fault},
    config::{Document, Key},
    settings,
  },
  pico_args::Arguments,
  std::{fs, path::PathBuf},
};

/// The help text of `check`.
pub const HELP: &str = "\
usage: fallwell check [--document KEY=FILE]... [--agent FILE]... [--balancer FILE]...

Validates files without publishing them.

  --agent FILE         settings of fallwell-agent
  --balancer FILE      settings of fallwell-balancer
  --document KEY=FILE  a document and the key that it will be published under, such as
                       service/1=dispatch.json
";

/// Validates each file; fails at the first invalid one.
pub fn run(mut arguments: Arguments) -> Result<(), Fault> {
  let documents: Vec<String> = arguments
    .values_from_str("--document")
    .map_err(invalid_argument)?;
  let agents: Vec<PathBuf> = arguments
    .values_from_str("--agent")
    .map_err(invalid_argument)?;
  let balancers: Vec<PathBuf> = arguments
    .values_from_str("--balancer")
    .map_err(invalid_argument)?;
  reject_unused(arguments)?;
  if documents.is_empty() && agents.is_empty() && balancers.is_empty() {
    return Err(Fault::new(Code::ArgumentInvalid, "found nothing to check"));
  }
  for document in &documents {
    check_document(document)?;
  }
  for path in &agents {
    settings::read::<settings::Agent>(path)?.check()?;
    println!("{}: settings are valid", path.display());
  }
  for path in &balancers {
    settings::read::<settings::Balancer>(path)?.check()?;
    println!("{}: settings are valid", path.display());
  }
  Ok(())
}

fn check_document(argument: &str) -> Result<(), Fault> {
  let (key, path) = argument.split_once('=').ok_or_else(|| {
    Fault::new(
      Code::ArgumentInvalid,
      format!("found `{argument}`, expected KEY=FILE, in `--document`"),
    )
  })?;
  let key: Key = key.parse()?;
  let text = fs::read_to_string(path)
    .map_err(|error| Fault::new(Code::DocumentUnreadable, format!("{path}: {error}")))?;
  Document::parse(key, &text)
    .map_err(|fault| Fault::new(fault.code, format!("{path}: {}", fault.detail)))?;
  println!("{path}: document is valid for {key}");
  Ok(())
}
