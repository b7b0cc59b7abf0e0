use {
  super::{invalid_argument, reject_unused},
  crate::{
    caller::Caller,
    code::{Code, Fault},
  },
  hdrhistogram::Histogram,
  http::Method,
  pico_args::Arguments,
  rustls::pki_types::{CertificateDer, pem::PemObject},
  std::{
    collections::BTreeMap,
    io::Write,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
  },
};

/// The help text of `probe`.
pub const HELP: &str = "\
usage: fallwell probe --service ADDRESS --name NAME --root FILE [OPTIONS]

Opens flows to a service, sends requests over each, and reports broken flows, outcomes and
latencies.

  --flows N          the number of concurrent flows (10)
  --method METHOD    the HTTP method (GET)
  --name NAME        the server name in the service's certificate
  --path PATH        the request path (/)
  --requests N       the number of sequential requests over each flow (100)
  --root FILE        the root certificate to verify the service's certificate with (PEM)
  --service ADDRESS  the address of the service
";

/// The interval at which the progress line is updated.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Report {
  broken: u64,
  outcomes: BTreeMap<String, u64>,
  latencies_us: Histogram<u64>,
}

struct Options {
  flows: usize,
  method: Method,
  name: String,
  path: String,
  requests: usize,
  roots: Vec<CertificateDer<'static>>,
  service: SocketAddr,
}

/// Opens the flows, sends the requests, and prints the report; fails if a flow has broken.
pub async fn run(mut arguments: Arguments) -> Result<(), Fault> {
  let options = Arc::new(options(&mut arguments)?);
  reject_unused(arguments)?;
  let latencies_us = Histogram::new(3).map_err(|error| Fault::new(Code::ChildFailed, error))?;
  let report = Arc::new(Mutex::new(Report {
    broken: 0,
    outcomes: BTreeMap::new(),
    latencies_us,
  }));
  let started = Instant::now();
  let flows = (0..options.flows).map(|_| {
    let (options, report) = (Arc::clone(&options), Arc::clone(&report));
    tokio::spawn(async move { run_flow(&options, &report).await })
  });
  let flows = flows.collect::<Vec<_>>();
  let all = futures::future::join_all(flows);
  tokio::pin!(all);
  loop {
    tokio::select! {
      _ = &mut all => break,
      () = tokio::time::sleep(PROGRESS_INTERVAL) => print_progress(&options, &report),
    }
  }
  print_report(&options, &report, started.elapsed());
  let broken = lock(&report).broken;
  if broken > 0 {
    return Err(Fault::new(
      Code::RequestOutcomeUnknown,
      format!("{broken} flows broke"),
    ));
  }
  Ok(())
}

fn options(arguments: &mut Arguments) -> Result<Options, Fault> {
  let root: PathBuf = arguments
    .value_from_str("--root")
    .map_err(invalid_argument)?;
  let roots = CertificateDer::pem_file_iter(&root)
    .and_then(Iterator::collect::<Result<Vec<_>, _>>)
    .map_err(|error| Fault::new(Code::TlsInvalid, format!("{}: {error}", root.display())))?;
  let flows: Option<usize> = arguments
    .opt_value_from_str("--flows")
    .map_err(invalid_argument)?;
  let method: Option<Method> = arguments
    .opt_value_from_str("--method")
    .map_err(invalid_argument)?;
  let path: Option<String> = arguments
    .opt_value_from_str("--path")
    .map_err(invalid_argument)?;
  let requests: Option<usize> = arguments
    .opt_value_from_str("--requests")
    .map_err(invalid_argument)?;
  Ok(Options {
    flows: flows.unwrap_or(10),
    method: method.unwrap_or(Method::GET),
    name: arguments
      .value_from_str("--name")
      .map_err(invalid_argument)?,
    path: path.unwrap_or_else(|| "/".into()),
    requests: requests.unwrap_or(100),
    roots,
    service: arguments
      .value_from_str("--service")
      .map_err(invalid_argument)?,
  })
}

async fn run_flow(options: &Options, report: &Mutex<Report>) {
  let Ok(caller) = Caller::open(options.service, &options.name, &options.roots).await else {
    return count_outcome(report, "not opened");
  };
  for _ in 0..options.requests {
    let started = Instant::now();
    let answer = caller
      .request(options.method.clone(), &options.path, &[], "")
      .await;
    match answer {
      Ok(answer) => {
        count_outcome(report, answer.status.as_str());
        let _ = lock(report)
          .latencies_us
          .record(started.elapsed().as_micros() as u64);
      }
      Err(_) => count_outcome(report, "cut"),
    }
    if caller.ended().is_some() {
      lock(report).broken += 1;
      return;
    }
  }
  caller.close().await;
}

fn count_outcome(report: &Mutex<Report>, outcome: &str) {
  *lock(report).outcomes.entry(outcome.to_owned()).or_default() += 1;
}

fn print_progress(options: &Options, report: &Mutex<Report>) {
  let done: u64 = lock(report).outcomes.values().sum();
  eprint!("\r{done} of {} requests", options.flows * options.requests);
  let _ = std::io::stderr().flush();
}

fn print_report(options: &Options, report: &Mutex<Report>, elapsed: Duration) {
  let report = lock(report);
  let quantile_us = |quantile| report.latencies_us.value_at_quantile(quantile);
  eprintln!();
  println!(
    "{} flows, {} broken, {:.1} s",
    options.flows,
    report.broken,
    elapsed.as_secs_f64()
  );
  for (outcome, count) in &report.outcomes {
    println!("{outcome}: {count}");
  }
  println!(
    "times in microseconds: p50 {}, p99 {}, p999 {}",
    quantile_us(0.5),
    quantile_us(0.99),
    quantile_us(0.999)
  );
}

fn lock(report: &Mutex<Report>) -> std::sync::MutexGuard<'_, Report> {
  report.lock().unwrap_or_else(PoisonError::into_inner)
}
