//! The command line, settings, API and metrics, and how invalid input to them is refused.

use {
  crate::support::{
    fleet::{Fleet, get},
    wait::until,
  },
  fallwell::web,
  http::{Method, StatusCode},
  std::{
    fs,
    net::UdpSocket,
    path::PathBuf,
    process::{Command, Output},
    time::Duration,
  },
};

fn run_fallwell(arguments: &[&str]) -> Output {
  Command::new(env!("CARGO_BIN_EXE_fallwell"))
    .args(arguments)
    .output()
    .expect("fallwell runs")
}

fn write_file(name: &str, text: &str) -> PathBuf {
  let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
  fs::write(&path, text).expect("file is written");
  path
}

/// Asserts the exact message on standard error and the exit status.
fn assert_refused(arguments: &[&str], status: i32, message: &str) {
  let output = run_fallwell(arguments);
  let error = String::from_utf8_lossy(&output.stderr).trim().to_owned();
  assert_eq!(error, message);
  assert_eq!(output.status.code(), Some(status), "{error}");
}

#[test]
fn invalid_arguments_are_refused_with_code_and_cause() {
  assert_refused(
    &["fly"],
    2,
    "fallwell: F131 argument is not valid: found verb `fly`, expected one that `fallwell --help` \
     lists",
  );
  assert_refused(
    &["get", "--api", "here"],
    2,
    "fallwell: F131 argument is not valid: failed to parse 'here': invalid socket address syntax",
  );
  assert_refused(
    &["get", "--api", "127.0.0.1:1", "--output", "poem"],
    2,
    "fallwell: F131 argument is not valid: failed to parse 'poem': F131 argument is not valid: \
     found `poem`, expected `json` or `table`",
  );
  assert_refused(
    &["dump"],
    2,
    "fallwell: F131 argument is not valid: expected one of `--api` and `--control`",
  );
  assert_refused(
    &["wait", "--service", "1", "--generation", "1"],
    2,
    "fallwell: F131 argument is not valid: expected `--api` once or more",
  );
  assert_refused(
    &["check"],
    2,
    "fallwell: F131 argument is not valid: found nothing to check",
  );
  assert_refused(
    &["get", "--api", "127.0.0.1:1", "--colour"],
    2,
    "fallwell: F131 argument is not valid: found `--colour`, expected an option that `--help` \
     lists",
  );
}

#[test]
fn each_verb_has_help() {
  for verb in [
    "check",
    "describe",
    "drain-status",
    "dump",
    "get",
    "probe",
    "wait",
    "watch",
  ] {
    let output = run_fallwell(&[verb, "--help"]);
    assert!(output.status.success());
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
      text.starts_with(&format!("usage: fallwell {verb}")),
      "{text}"
    );
  }
}

#[test]
fn invalid_settings_are_refused_with_file_line_and_key() {
  let path = write_file("wrong.toml", "instance = 1\ncolour = 2\n");
  let argument = path.display().to_string();
  let output = run_fallwell(&["check", "--balancer", &argument]);
  let text = String::from_utf8_lossy(&output.stderr).into_owned();
  let expected =
    format!("fallwell: F122 settings are not valid: {argument}: line 2: unknown field `colour`");
  assert!(text.starts_with(&expected), "{text}");
  assert_eq!(output.status.code(), Some(2));
}

#[test]
fn an_api_address_beyond_loopback_is_refused() {
  let path = write_file("open.toml", "api = \"192.0.2.1:7300\"\n");
  let argument = path.display().to_string();
  assert_refused(
    &["check", "--agent", &argument],
    2,
    "fallwell: F122 settings are not valid: found an `api` address that others reach, expected \
     loopback",
  );
}

#[test]
fn the_samples_are_valid() {
  let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("samples");
  let path = |name: &str| root.join(name).display().to_string();
  let document = format!("service/1={}", path("service.json"));
  let output = run_fallwell(&[
    "check",
    "--balancer",
    &path("balancer.toml"),
    "--agent",
    &path("agent.toml"),
    "--document",
    &document,
  ]);
  assert!(
    output.status.success(),
    "{}",
    String::from_utf8_lossy(&output.stderr)
  );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wait_succeeds_for_a_generation_in_force_and_reports_a_refused_document() {
  let mut fleet = Fleet::new().balancers(2).service(1, 2).start().await;
  fleet.publish(1).await;
  let generation = fleet.document(1).generation.to_string();
  let apis = [
    fleet.balancer_api(1).to_string(),
    fleet.balancer_api(2).to_string(),
  ];
  let output = run_fallwell(&[
    "wait",
    "--api",
    &apis[0],
    "--api",
    &apis[1],
    "--service",
    "1",
    "--generation",
    &generation,
  ]);
  assert!(
    output.status.success(),
    "{}",
    String::from_utf8_lossy(&output.stderr)
  );
  fleet.put("service/1", "{").await;
  until("the document is refused", || async {
    let resource = get(fleet.balancer_api(1), "/v1/services/1").await;
    resource["conditions"]["accepted"]["status"] == false
  })
  .await;
  let output = run_fallwell(&[
    "wait",
    "--api",
    &apis[0],
    "--service",
    "1",
    "--generation",
    "999",
    "--timeout",
    "1",
  ]);
  let text = String::from_utf8_lossy(&output.stderr).into_owned();
  assert_eq!(output.status.code(), Some(3), "{text}");
  assert!(
    text.contains("F101 document is not valid json of its kind"),
    "{text}"
  );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_only_verbs_print_a_table_json_or_a_summary() {
  let fleet = Fleet::new().balancers(1).service(1, 2).start().await;
  let api = fleet.balancer_api(1).to_string();
  let output = run_fallwell(&["get", "--api", &api]);
  let text = String::from_utf8_lossy(&output.stdout).into_owned();
  assert!(
    text
      .lines()
      .nth(1)
      .is_some_and(|line| line.ends_with("service-1")),
    "{text}"
  );
  for arguments in [
    vec!["describe", "--api", &api, "--service", "1"],
    vec!["dump", "--api", &api],
    vec!["watch", "--api", &api, "--count", "1", "--output", "json"],
  ] {
    let output = run_fallwell(&arguments);
    assert!(output.status.success(), "{arguments:?}");
    serde_json::from_slice::<serde_json::Value>(&output.stdout).expect("json");
  }
  let agent = fleet.agent_api(1, 1).to_string();
  let output = run_fallwell(&["drain-status", "--api", &agent]);
  let text = String::from_utf8_lossy(&output.stdout).into_owned();
  assert_eq!(text.trim(), "leaving false, 0 flows, 0 requests");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn probe_reports_statuses_and_broken_flows() {
  let fleet = Fleet::new().balancers(2).service(1, 2).start().await;
  let service = fleet.address(1).to_string();
  let root = fleet.certificate_file().display().to_string();
  let output = run_fallwell(&[
    "probe",
    "--service",
    &service,
    "--name",
    "service.test",
    "--root",
    &root,
    "--flows",
    "3",
    "--requests",
    "20",
    "--path",
    "/bytes?n=10",
  ]);
  let text = String::from_utf8_lossy(&output.stdout).into_owned();
  assert!(output.status.success(), "{text}");
  assert!(text.starts_with("3 flows, 0 broken"), "{text}");
  assert!(text.contains("200: 60"), "{text}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_api_requests_are_refused_with_status_and_code() {
  let fleet = Fleet::new().balancers(1).service(1, 1).start().await;
  for api in fleet.apis() {
    for (method, path, status) in [
      (Method::GET, "/v1/services/none", StatusCode::BAD_REQUEST),
      (Method::GET, "/v1/services/77", StatusCode::NOT_FOUND),
      (Method::GET, "/v1/watch?after=x", StatusCode::BAD_REQUEST),
      (Method::GET, "/v2", StatusCode::NOT_FOUND),
      (Method::POST, "/v1/state", StatusCode::METHOD_NOT_ALLOWED),
    ] {
      let answer = web::request(api, method, path, "", Duration::from_secs(5)).await;
      let (actual, body) = answer.unwrap();
      assert_eq!(actual, status, "{path}");
      let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
      assert_eq!(body["code"], 131);
    }
  }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_hand_off_without_a_valid_tag_is_refused() {
  let fleet = Fleet::new().balancers(1).service(1, 1).start().await;
  let hand_off_address = fleet.published_agent(1, 1, 7200);
  let answer = web::request(
    hand_off_address,
    Method::POST,
    "/confirm",
    "x",
    Duration::from_secs(5),
  )
  .await;
  let (status, body) = answer.unwrap();
  assert_eq!(status, StatusCode::FORBIDDEN);
  let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
  assert_eq!(body["code"], 206);
  let journal = get(fleet.upstream_address(1, 1), "/journal").await;
  assert_eq!(journal, serde_json::json!({}));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_are_sent_to_the_statsd_server() {
  let server = UdpSocket::bind("127.0.0.1:0").unwrap();
  server
    .set_read_timeout(Some(Duration::from_mins(1)))
    .unwrap();
  let address = server.local_addr().unwrap();
  let _fleet = Fleet::new()
    .metrics(address)
    .balancers(1)
    .service(1, 1)
    .start()
    .await;
  let mut buffer = [0; 2000];
  let (length, _) = server.recv_from(&mut buffer).unwrap();
  let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
  assert!(text.starts_with("fallwell."), "{text}");
}
