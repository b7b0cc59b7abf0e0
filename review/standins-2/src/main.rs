//! Cases of the second review: `review-case-2 CASE FOLDER PROGRAM`. Writes `record.txt` to the folder;
//! exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With
//! `TROUBLE=0` in the environment, the same is done without the disruption.

mod caller;
mod cases;
mod cluster;
mod record;
mod store;
mod target;
mod wire;
mod world;

use std::{
  env,
  panic::{self, AssertUnwindSafe},
  path::PathBuf,
  process::ExitCode,
};

fn main() -> ExitCode {
  let arguments = env::args().skip(1).collect::<Vec<_>>();
  let [case, folder, program] = arguments.as_slice() else {
    eprintln!("usage: review-case-2 CASE FOLDER PROGRAM");
    return ExitCode::from(2);
  };
  let trouble = env::var("TROUBLE").as_deref() != Ok("0");
  let folder = PathBuf::from(folder);
  let run = || cases::run(case, &folder, PathBuf::from(program), trouble);
  // A stand-in that can't work, for one without its address, shows nothing about the rule. The
  // processes are ended while the panic unwinds.
  match panic::catch_unwind(AssertUnwindSafe(run)) {
    Ok(Some(true)) => ExitCode::from(1),
    Ok(Some(false)) => ExitCode::SUCCESS,
    Ok(None) | Err(_) => ExitCode::from(2),
  }
}
