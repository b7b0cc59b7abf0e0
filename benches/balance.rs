//! Balance of weighted work between targets, throughput and latency at several fractions of the
//! capacity. Compares hand-off of single requests with balancing flows only (two random choices).

#[path = "../tests/support/mod.rs"]
#[allow(dead_code, reason = "shared with the tests")]
mod support;

use {
  fallwell::caller::Caller,
  hdrhistogram::Histogram,
  http::Method,
  rand::{RngExt, SeedableRng, rngs::SmallRng},
  std::{
    sync::{
      Arc, Mutex,
      atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
  },
  support::fleet::Fleet,
};

/// How long an upstream works on a request.
const WORK: Duration = Duration::from_millis(200);
/// How long requests are sent at each fraction of the capacity.
const ROUND_DURATION: Duration = Duration::from_secs(8);
const FLOWS: usize = 40;

/// One request in this many is a confirmation, which has twice the weight of the others.
const CONFIRMATION_EVERY: u64 = 3;

#[derive(Default)]
struct Outcomes {
  answered: AtomicU64,
  other: AtomicU64,
  refused: AtomicU64,
  sent: AtomicU64,
}

/// The weighted work that each target has done since its start.
async fn work_done(fleet: &Fleet, targets: u32) -> Vec<f64> {
  let mut all = Vec::new();
  for target in 1..=targets {
    let state = fleet.agent_state(1, target).await;
    all.push(state["path"]["work"].as_f64().expect("work"));
  }
  all
}

/// The number of requests that agents have retried at another target.
async fn retry_count(fleet: &Fleet, targets: u32) -> u64 {
  let mut all = 0;
  for target in 1..=targets {
    let state = fleet.agent_state(1, target).await;
    all += state["counters"]["requests.retried"].as_u64().unwrap_or(0);
  }
  all
}

/// Sends requests as a Poisson process with `rate` requests per second, over unevenly busy flows.
async fn send_load(callers: &[Caller], rate: f64) -> (Arc<Outcomes>, Histogram<u64>) {
  let outcomes = Arc::new(Outcomes::default());
  let latencies_ms = Arc::new(Mutex::new(Histogram::new(3).expect("histogram")));
  let mut rng = SmallRng::seed_from_u64(1);
  let started = Instant::now();
  let mut at = Duration::ZERO;
  let mut tasks = Vec::new();
  while at < ROUND_DURATION {
    at += Duration::from_secs_f64(-(1.0 - rng.random_range(0.0..1.0_f64)).ln() / rate);
    tokio::time::sleep_until((started + at).into()).await;
    // Two nested random choices make some flows much busier than others.
    let upper = rng.random_range(0..callers.len());
    let caller = callers[rng.random_range(0..=upper)].clone();
    let (outcomes, latencies_ms) = (Arc::clone(&outcomes), Arc::clone(&latencies_ms));
    let number = outcomes.sent.fetch_add(1, Ordering::Relaxed);
    let key = format!("{}-{number}", rand::random::<u64>());
    tasks.push(tokio::spawn(async move {
      let path = format!("?work_ms={}", WORK.as_millis());
      let started = Instant::now();
      let answer = if number % CONFIRMATION_EVERY == 0 {
        let headers = [("idempotency-key", key.as_str()), ("fallwell-attempt", "1")];
        let path = format!("/confirm{path}");
        caller
          .request(Method::POST, &path, &headers, "basket")
          .await
      } else {
        caller
          .request(Method::GET, &format!("/item{path}"), &[], "")
          .await
      };
      let elapsed_ms = started.elapsed().as_millis() as u64;
      match answer.map(|answer| answer.status.as_u16()) {
        Ok(200) => {
          outcomes.answered.fetch_add(1, Ordering::Relaxed);
          latencies_ms
            .lock()
            .expect("latencies")
            .record(elapsed_ms)
            .expect("time");
        }
        Ok(503) => {
          outcomes.refused.fetch_add(1, Ordering::Relaxed);
        }
        _ => {
          outcomes.other.fetch_add(1, Ordering::Relaxed);
        }
      }
    }));
  }
  futures::future::join_all(tasks).await;
  let latencies_ms = latencies_ms.lock().expect("latencies").clone();
  (outcomes, latencies_ms)
}

async fn measure(name: &str, fleet: Fleet, targets: u32, slots: u32, fractions: &[f64]) {
  let fleet = fleet
    .service(1, targets)
    .slots(slots)
    .balancers(2)
    .start()
    .await;
  let mut callers = Vec::new();
  for _ in 0..FLOWS {
    callers.push(fleet.caller(1).await);
  }
  let capacity = f64::from(targets * slots) / WORK.as_secs_f64();
  for fraction in fractions {
    let before = work_done(&fleet, targets).await;
    let retries = retry_count(&fleet, targets).await;
    let started = Instant::now();
    let (outcomes, latencies_ms) = send_load(&callers, capacity * fraction).await;
    let seconds = started.elapsed().as_secs_f64();
    let after = work_done(&fleet, targets).await;
    let retries = retry_count(&fleet, targets).await - retries;
    let done = after
      .iter()
      .zip(&before)
      .map(|(after, before)| after - before);
    let done = done.collect::<Vec<_>>();
    let mean = done.iter().sum::<f64>() / done.len() as f64;
    let variance = done.iter().map(|work| (work - mean).powi(2)).sum::<f64>() / done.len() as f64;
    let of = |count: &AtomicU64| count.load(Ordering::Relaxed) as f64;
    println!(
      "{name:>22} {targets}x{slots} | {fraction:.1} | {:.2} {:.2} | {:>6.1} {:>5.1}% {:>4} | {:>5} {:>5} \
       {:>5} | {:.3}",
      done.iter().copied().fold(0.0, f64::max) / mean,
      variance.sqrt() / mean,
      of(&outcomes.answered) / seconds,
      100.0 * of(&outcomes.refused) / of(&outcomes.sent),
      of(&outcomes.other),
      latencies_ms.value_at_quantile(0.5),
      latencies_ms.value_at_quantile(0.99),
      latencies_ms.value_at_quantile(0.999),
      retries as f64 / of(&outcomes.sent),
    );
  }
}

#[tokio::main]
async fn main() {
  println!(
    "{:>26} | load | max/mean, cov of weighted work | answered/s, refused, else | p50 p99 p999 ms | \
     retries a try",
    "policy"
  );
  let fractions = [0.5, 0.9, 1.2, 2.0];
  measure("hand-off", Fleet::new(), 7, 5, &fractions).await;
  measure(
    "flows alone",
    Fleet::new().without_routes(),
    7,
    5,
    &fractions,
  )
  .await;
  measure("hand-off", Fleet::new(), 4, 5, &[0.9]).await;
  measure("flows alone", Fleet::new().without_routes(), 4, 5, &[0.9]).await;
  measure("hand-off", Fleet::new(), 3, 7, &[0.9]).await;
  measure("flows alone", Fleet::new().without_routes(), 3, 7, &[0.9]).await;
  measure(
    "hand-off, one slow",
    Fleet::new().slow_upstream(1, 3),
    7,
    5,
    &[0.6],
  )
  .await;
  let slow = Fleet::new().without_routes().slow_upstream(1, 3);
  measure("flows alone, one slow", slow, 7, 5, &[0.6]).await;
}
