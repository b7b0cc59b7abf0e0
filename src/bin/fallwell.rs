//! `fallwell`: the command line for operators.

use {
  fallwell::{command, process},
  std::process::ExitCode,
};

fn main() -> ExitCode {
  process::finish("fallwell", command::run())
}
