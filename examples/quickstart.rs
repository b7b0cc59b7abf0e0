//! Runs all roles in one process: two balancers in front of a service with two targets, and a
//! caller. One balancer stops while the caller receives a streamed response, which continues.

use {
  eyre::{Result, WrapErr, bail, eyre},
  fallwell::{
    agent, balancer,
    caller::Caller,
    config::{self, Presence, Role},
    counter::Counter,
    id, settings,
    standin::{Fabric, Front, Platform, Upstream},
    supervisor::Tree,
    web,
  },
  http::Method,
  rustls::pki_types::CertificateDer,
  serde_json::json,
  std::{
    env, fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
  },
};

const NAME: &str = "dispatch.example";
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const READY_TIMEOUT: Duration = Duration::from_secs(20);

fn address(host: u8, port: u16) -> SocketAddr {
  SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 77, 0, host)), port)
}

fn service() -> config::Service {
  let targets = [1, 2].map(|target| config::Target {
    agent: address(20 + target, 7200),
    connections: 2000,
    id: id::Target(target.into()),
    leaving: false,
    slots: 5,
  });
  config::Service {
    address: address(100, 4433),
    drain_s: 60,
    generation: 1,
    id: id::Service(1),
    name: "dispatch".into(),
    ramp_s: 0,
    repeat_window_s: 600,
    routes: Vec::new(),
    targets: targets.into(),
  }
}

async fn publish(key: &str, document: serde_json::Value) -> Result<()> {
  let path = format!("/v1/documents/{key}");
  let body = document.to_string();
  web::request(address(1, 7000), Method::PUT, &path, body, REQUEST_TIMEOUT).await?;
  Ok(())
}

async fn publish_all() -> Result<()> {
  let secret = json!({ "id": 1, "value": format!("{:032x}", rand::random::<u128>()) });
  publish("keyring", json!({ "current": 1, "secrets": [secret] })).await?;
  for number in [1, 2] {
    let instance = config::Instance {
      control: address(10 + number, 7100),
      data_centre: "ernakulam".into(),
      id: id::Instance(number.into()),
      presence: Presence::Live,
      role: Role::Balancer,
      tunnel: address(10 + number, 7200),
    };
    publish(&format!("instance/{number}"), json!(instance)).await?;
  }
  publish("service/1", json!(service())).await
}

fn start_balancer(number: u8) -> Result<Tree> {
  let settings = settings::Balancer {
    api: address(10 + number, 7300),
    bind: Some(address(10 + number, 0).ip()),
    control: address(10 + number, 7100),
    data_centre: "ernakulam".into(),
    instance: id::Instance(number.into()),
    peers: vec![address(11, 7100), address(12, 7100)],
    platform: address(1, 7000),
    tunnel: address(10 + number, 7200),
    ..settings::Balancer::default()
  };
  let counter = Arc::new(Counter::default());
  let mut tree = Tree::new(Arc::clone(&counter));
  balancer::start(&settings, &counter, &mut tree)?;
  println!(
    "balancer {number}: callers at {}, frames at {}",
    address(10 + number, 4433),
    settings.tunnel
  );
  Ok(tree)
}

fn start_agent(target: u8, directory: &std::path::Path) -> Result<Tree> {
  let settings = settings::Agent {
    api: address(20 + target, 7300),
    certificate: directory.join("certificate.pem"),
    control: address(20 + target, 7100),
    instance: id::Instance(1000 + u32::from(target)),
    key: directory.join("key.pem"),
    peers: vec![address(11, 7100), address(12, 7100)],
    platform: address(1, 7000),
    service: id::Service(1),
    target: id::Target(target.into()),
    tunnel: address(20 + target, 7200),
    upstream: address(20 + target, 8080),
    ..settings::Agent::default()
  };
  let counter = Arc::new(Counter::default());
  let mut tree = Tree::new(Arc::clone(&counter));
  agent::start(&settings, &counter, &mut tree)?;
  println!(
    "agent {target}: frames at {}, upstream at {}",
    settings.tunnel, settings.upstream
  );
  Ok(tree)
}

async fn wait_ready(api: SocketAddr) -> Result<()> {
  let deadline = Instant::now() + READY_TIMEOUT;
  while Instant::now() < deadline {
    let answer = web::request(api, Method::GET, "/v1/ready", "", REQUEST_TIMEOUT).await;
    if answer.is_ok_and(|(status, _)| status.is_success()) {
      return Ok(());
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
  }
  bail!("process at {api} did not become ready in time")
}

fn certificate() -> Result<(PathBuf, CertificateDer<'static>)> {
  let directory = env::temp_dir().join(format!("fallwell-quickstart-{}", std::process::id()));
  fs::create_dir_all(&directory)?;
  let certificate_and_key = rcgen::generate_simple_self_signed([NAME.to_owned()])?;
  fs::write(
    directory.join("certificate.pem"),
    certificate_and_key.cert.pem(),
  )?;
  fs::write(
    directory.join("key.pem"),
    certificate_and_key.signing_key.serialize_pem(),
  )?;
  Ok((directory, certificate_and_key.cert.der().clone()))
}

async fn print_lines(
  caller: &Caller,
  feed: &mut fallwell::caller::Feed,
  count: usize,
) -> Result<()> {
  for line in 1..=count {
    let chunk = feed
      .next()
      .await?
      .ok_or_else(|| eyre!("the feed has ended unexpectedly"))?;
    let text = String::from_utf8_lossy(&chunk);
    let trip = caller.round_trip();
    println!(
      "  feed {line}/{count}: {} (round trip {trip:?})",
      text.trim()
    );
  }
  Ok(())
}

#[tokio::main]
async fn main() -> Result<()> {
  println!(
    "platform: {}; fabric at {}",
    address(1, 7000),
    address(100, 4433)
  );
  tokio::spawn(Platform::run(address(1, 7000)));
  let backs = vec![address(11, 4433), address(12, 4433)];
  let front = Front {
    backs,
    listen: address(100, 4433),
  };
  tokio::spawn(Fabric::run(address(1, 7001), vec![front], 1));
  for target in [1, 2] {
    let name = format!("upstream-{target}");
    tokio::spawn(Upstream::run(address(20 + target, 8080), name, 1));
  }
  tokio::time::sleep(Duration::from_millis(200)).await;
  publish_all()
    .await
    .wrap_err("failed to publish the documents")?;
  let (directory, root) = certificate()?;
  let mut balancers = vec![start_balancer(1)?, start_balancer(2)?];
  let mut agents = [start_agent(1, &directory)?, start_agent(2, &directory)?];
  for host in [11, 12, 21, 22] {
    wait_ready(address(host, 7300)).await?;
  }
  println!("all processes are ready; a caller opens a flow");
  let caller = Caller::open(address(100, 4433), NAME, &[root]).await?;
  let answer = caller.request(Method::GET, "/hello", &[], "").await?;
  println!(
    "GET /hello: {} {}",
    answer.status,
    String::from_utf8_lossy(&answer.body)
  );
  let answer = caller
    .request(Method::POST, "/confirm", &[], "parcel 17")
    .await?;
  println!(
    "POST /confirm: {} {}",
    answer.status,
    String::from_utf8_lossy(&answer.body)
  );
  let mut feed = caller.feed("/feed?interval_ms=200").await?;
  print_lines(&caller, &mut feed, 5).await?;
  println!("balancer 1 stops; the fabric still forwards every other packet to it");
  balancers[0].stop();
  print_lines(&caller, &mut feed, 15).await?;
  println!("the flow survived the loss of a balancer: 0 broken flows");
  caller.close().await;
  for tree in agents.iter_mut().chain(&mut balancers) {
    tree.stop();
  }
  fs::remove_dir_all(&directory)?;
  Ok(())
}
