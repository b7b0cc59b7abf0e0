//! How evenly weighted work lands on targets, what gets through and how long it takes, at shares
//! of the capacity: with hand-off of single requests, and with two choices by flows alone.

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

/// How long a request runs at its upstream.
const WORK: Duration = Duration::from_millis(200);
const ROUND: Duration = Duration::from_secs(8);
const FLOWS: usize = 40;

/// Every third request is a confirmation, which counts double.
const CONFIRMATIONS: u64 = 3;

#[derive(Default)]
struct Totals {
  answered: AtomicU64,
  other: AtomicU64,
  refused: AtomicU64,
  sent: AtomicU64,
}

async fn work(fleet: &Fleet, targets: u32) -> Vec<f64> {
  let mut work = Vec::new();
  for target in 1..=targets {
    let state = fleet.agent_state(1, target).await;
    work.push(state["path"]["work"].as_f64().expect("work"));
  }
  work
}

async fn retried(fleet: &Fleet, targets: u32) -> u64 {
  let mut all = 0;
  for target in 1..=targets {
    let state = fleet.agent_state(1, target).await;
    all += state["counters"]["requests.retried"].as_u64().unwrap_or(0);
  }
  all
}

/// Sends requests at random times at a rate, over flows of uneven rates.
async fn load(callers: &[Caller], rate: f64) -> (Arc<Totals>, Histogram<u64>) {
  let totals = Arc::new(Totals::default());
  let times = Arc::new(Mutex::new(Histogram::new(3).expect("histogram")));
  let mut rng = SmallRng::seed_from_u64(1);
  let begun = Instant::now();
  let mut at = Duration::ZERO;
  let mut tasks = Vec::new();
  while at < ROUND {
    at += Duration::from_secs_f64(-(1.0 - rng.random_range(0.0..1.0_f64)).ln() / rate);
    tokio::time::sleep_until((begun + at).into()).await;
    // The lower of two makes some flows many times as busy as others.
    let most = rng.random_range(0..callers.len());
    let caller = callers[rng.random_range(0..=most)].clone();
    let (totals, times) = (Arc::clone(&totals), Arc::clone(&times));
    let number = totals.sent.fetch_add(1, Ordering::Relaxed);
    let key = format!("{}-{number}", rand::random::<u64>());
    tasks.push(tokio::spawn(async move {
      let path = format!("?work_ms={}", WORK.as_millis());
      let begun = Instant::now();
      let answer = if number % CONFIRMATIONS == 0 {
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
      let took = begun.elapsed().as_millis() as u64;
      match answer.map(|answer| answer.status.as_u16()) {
        Ok(200) => {
          totals.answered.fetch_add(1, Ordering::Relaxed);
          times.lock().expect("times").record(took).expect("time");
        }
        Ok(503) => {
          totals.refused.fetch_add(1, Ordering::Relaxed);
        }
        _ => {
          totals.other.fetch_add(1, Ordering::Relaxed);
        }
      }
    }));
  }
  futures::future::join_all(tasks).await;
  let times = times.lock().expect("times").clone();
  (totals, times)
}

async fn measure(name: &str, fleet: Fleet, targets: u32, slots: u32, shares: &[f64]) {
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
  for share in shares {
    let before = work(&fleet, targets).await;
    let retries = retried(&fleet, targets).await;
    let begun = Instant::now();
    let (totals, times) = load(&callers, capacity * share).await;
    let seconds = begun.elapsed().as_secs_f64();
    let after = work(&fleet, targets).await;
    let retries = retried(&fleet, targets).await - retries;
    let done = after
      .iter()
      .zip(&before)
      .map(|(after, before)| after - before);
    let done = done.collect::<Vec<_>>();
    let mean = done.iter().sum::<f64>() / done.len() as f64;
    let spread = done.iter().map(|work| (work - mean).powi(2)).sum::<f64>() / done.len() as f64;
    let of = |count: &AtomicU64| count.load(Ordering::Relaxed) as f64;
    println!(
      "{name:>22} {targets}x{slots} | {share:.1} | {:.2} {:.2} | {:>6.1} {:>5.1}% {:>4} | {:>5} {:>5} \
       {:>5} | {:.3}",
      done.iter().copied().fold(0.0, f64::max) / mean,
      spread.sqrt() / mean,
      of(&totals.answered) / seconds,
      100.0 * of(&totals.refused) / of(&totals.sent),
      of(&totals.other),
      times.value_at_quantile(0.5),
      times.value_at_quantile(0.99),
      times.value_at_quantile(0.999),
      retries as f64 / of(&totals.sent),
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
  let shares = [0.5, 0.9, 1.2, 2.0];
  measure("hand-off", Fleet::new(), 7, 5, &shares).await;
  measure("flows alone", Fleet::new().without_routes(), 7, 5, &shares).await;
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
