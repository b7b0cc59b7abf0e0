//! `fallwell`: the operators' command line.

use {
  fallwell::{command, process},
  std::process::ExitCode,
};

fn main() -> ExitCode {
  process::finish("fallwell", command::run())
}
