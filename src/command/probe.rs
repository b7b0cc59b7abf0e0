use {
  super::{finish, invalid},
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

/// The help of the verb.
pub const HELP: &str = "\
usage: fallwell probe --service ADDRESS --name NAME --root FILE [OPTIONS]

Opens flows to a service, sends requests over each, and reports broken flows, outcomes and times.

  --flows N          flows that are open at once (10)
  --method METHOD    the method (GET)
  --name NAME        the name that the certificate is made for
  --path PATH        the path (/)
  --requests N       requests over each flow, one after another (100)
  --root FILE        the certificate that signs the service's (PEM)
  --service ADDRESS  the address that callers reach
";

/// How often the progress line is written.
const PROGRESS: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Report {
  broken: u64,
  outcomes: BTreeMap<String, u64>,
  times: Histogram<u64>,
}

struct Plan {
  flows: usize,
  method: Method,
  name: String,
  path: String,
  requests: usize,
  roots: Vec<CertificateDer<'static>>,
  service: SocketAddr,
}

/// Opens flows and sends requests.
pub async fn run(mut arguments: Arguments) -> Result<(), Fault> {
  let plan = Arc::new(plan(&mut arguments)?);
  finish(arguments)?;
  let times = Histogram::new(3).map_err(|error| Fault::new(Code::ChildFailed, error))?;
  let report = Arc::new(Mutex::new(Report {
    broken: 0,
    outcomes: BTreeMap::new(),
    times,
  }));
  let begun = Instant::now();
  let flows = (0..plan.flows).map(|_| {
    let (plan, report) = (Arc::clone(&plan), Arc::clone(&report));
    tokio::spawn(async move { flow(&plan, &report).await })
  });
  let flows = flows.collect::<Vec<_>>();
  let all = futures::future::join_all(flows);
  tokio::pin!(all);
  loop {
    tokio::select! {
      _ = &mut all => break,
      () = tokio::time::sleep(PROGRESS) => progress(&plan, &report),
    }
  }
  print(&plan, &report, begun.elapsed());
  let broken = lock(&report).broken;
  if broken > 0 {
    return Err(Fault::new(
      Code::RequestOutcomeUnknown,
      format!("{broken} flows broke"),
    ));
  }
  Ok(())
}

fn plan(arguments: &mut Arguments) -> Result<Plan, Fault> {
  let root: PathBuf = arguments.value_from_str("--root").map_err(invalid)?;
  let roots = CertificateDer::pem_file_iter(&root)
    .and_then(Iterator::collect::<Result<Vec<_>, _>>)
    .map_err(|error| Fault::new(Code::TlsInvalid, format!("{}: {error}", root.display())))?;
  let flows: Option<usize> = arguments.opt_value_from_str("--flows").map_err(invalid)?;
  let method: Option<Method> = arguments.opt_value_from_str("--method").map_err(invalid)?;
  let path: Option<String> = arguments.opt_value_from_str("--path").map_err(invalid)?;
  let requests: Option<usize> = arguments
    .opt_value_from_str("--requests")
    .map_err(invalid)?;
  Ok(Plan {
    flows: flows.unwrap_or(10),
    method: method.unwrap_or(Method::GET),
    name: arguments.value_from_str("--name").map_err(invalid)?,
    path: path.unwrap_or_else(|| "/".into()),
    requests: requests.unwrap_or(100),
    roots,
    service: arguments.value_from_str("--service").map_err(invalid)?,
  })
}

async fn flow(plan: &Plan, report: &Mutex<Report>) {
  let Ok(caller) = Caller::open(plan.service, &plan.name, &plan.roots).await else {
    return count(report, "not opened");
  };
  for _ in 0..plan.requests {
    let begun = Instant::now();
    let answer = caller
      .request(plan.method.clone(), &plan.path, &[], "")
      .await;
    match answer {
      Ok(answer) => {
        count(report, answer.status.as_str());
        let _ = lock(report)
          .times
          .record(begun.elapsed().as_micros() as u64);
      }
      Err(_) => count(report, "cut"),
    }
    if caller.ended().is_some() {
      lock(report).broken += 1;
      return;
    }
  }
  caller.close().await;
}

fn count(report: &Mutex<Report>, outcome: &str) {
  *lock(report).outcomes.entry(outcome.to_owned()).or_default() += 1;
}

fn progress(plan: &Plan, report: &Mutex<Report>) {
  let done: u64 = lock(report).outcomes.values().sum();
  eprint!("\r{done} of {} requests", plan.flows * plan.requests);
  let _ = std::io::stderr().flush();
}

fn print(plan: &Plan, report: &Mutex<Report>, took: Duration) {
  let report = lock(report);
  let micros = |quantile| report.times.value_at_quantile(quantile);
  eprintln!();
  println!(
    "{} flows, {} broken, {:.1} s",
    plan.flows,
    report.broken,
    took.as_secs_f64()
  );
  for (outcome, count) in &report.outcomes {
    println!("{outcome}: {count}");
  }
  println!(
    "times in microseconds: p50 {}, p99 {}, p999 {}",
    micros(0.5),
    micros(0.99),
    micros(0.999)
  );
}

fn lock(report: &Mutex<Report>) -> std::sync::MutexGuard<'_, Report> {
  report.lock().unwrap_or_else(PoisonError::into_inner)
}
