//! The table `[overload]` of the settings.

use {
  fallwell::{
    code::Fault,
    datagram::{Overload, Settings},
    settings,
  },
  std::{fs, path::PathBuf},
};

fn read(name: &str, text: &str) -> Result<Settings, Fault> {
  let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("overload-{name}.toml"));
  fs::write(&path, text).expect("settings");
  settings::read(&path)
}

#[test]
fn overload_control_is_off_unless_enabled() {
  let off = read("off", "data_centre = \"here\"\n").expect("settings");
  assert_eq!(off.overload, Overload { enabled: false });
  let on = read("on", "[overload]\nenabled = true\n").expect("settings");
  assert!(on.overload.enabled && on.tuning().overload.enabled);
}

/// A misspelt key would else leave overload control off without a word.
#[test]
fn an_unknown_key_is_refused_with_code_and_line() {
  let text = "data_centre = \"here\"\n\n[overload]\nenable = true\n";
  let fault = read("unknown", text).expect_err("unknown key").to_string();
  assert!(fault.starts_with("F122 "), "{fault}");
  assert!(
    fault.contains("line 4: unknown field `enable`, expected `enabled`"),
    "{fault}"
  );
}

#[test]
fn a_value_of_another_type_is_refused_with_code_and_line() {
  let fault = read("type", "[overload]\nenabled = \"yes\"\n").expect_err("a string");
  let fault = fault.to_string();
  assert!(fault.starts_with("F122 "), "{fault}");
  assert!(fault.contains("line 2: "), "{fault}");
}
