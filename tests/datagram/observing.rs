//! What `fallwell get` and `fallwell describe` say of flows that wait, from samples of `/v1/state`.

use {fallwell::command::Demand, serde_json::json};

fn lines(state: &serde_json::Value) -> Vec<String> {
  let classes = Demand::of_state(state);
  classes.iter().map(ToString::to_string).collect()
}

#[test]
fn a_balancer_shows_who_waits_and_why() {
  let state = json!({
    "parked": 61,
    "admission": [
      {
        "service": "photos", "priority": 2, "queued": 3, "callers": 2, "oldest_ms": 90,
        "drain_rate": 20.0, "late_rate": 0.0, "limit": 56, "overloaded": false,
      },
      {
        "service": "feeds", "priority": 3, "queued": 40, "callers": 4, "oldest_ms": 812,
        "drain_rate": 31.43, "late_rate": 7.14, "limit": 44.2, "overloaded": true,
      },
      {
        "service": "feeds", "priority": 0, "queued": 18, "callers": 3, "oldest_ms": 1100,
        "drain_rate": 0.0, "late_rate": 0.0, "limit": 20, "overloaded": false,
      },
    ],
  });
  assert_eq!(
    lines(&state),
    [
      "feeds priority 0: 18 flows of 3 callers wait, the oldest for 1100 ms; 0.0 placed a second, \
       0.0 of them late; at most 20 may wait; none are placed",
      "feeds priority 3: 40 flows of 4 callers wait, the oldest for 812 ms; 31.4 placed a second, \
       7.1 of them late; at most 44 may wait; overloaded, the rest is rejected",
      "photos priority 2: 3 flows of 2 callers wait, the oldest for 90 ms; 20.0 placed a second, \
       0.0 of them late; at most 56 may wait; targets are busy",
    ]
  );
}

/// Hundreds of balancers may have flows that wait for one agent: one line for each hides the figure.
#[test]
fn an_agent_shows_the_flows_of_all_balancers_in_a_line_for_each_class() {
  let entry = |balancer: &str, priority: u8, queued: u16, oldest_ms: u16| {
    json!({
      "balancer": balancer, "callers": 4, "granted": 1, "oldest_ms": oldest_ms,
      "priority": priority, "queued": queued,
    })
  };
  let state = json!({
    "upstream": { "service": "feeds" },
    "demand": [
      entry("10.1.0.10:7720", 1, 12, 300),
      entry("10.1.0.10:7720", 3, 7, 20),
      entry("10.1.0.11:7720", 1, 5, 450),
    ],
  });
  assert_eq!(
    lines(&state),
    [
      "feeds priority 1: 17 flows of 8 callers wait, the oldest for 450 ms, at 2 balancers; \
       targets are busy",
      "feeds priority 3: 7 flows of 4 callers wait, the oldest for 20 ms, at 1 balancer; targets \
       are busy",
    ]
  );
}

/// A class keeps its rates for a while after its last flow; it is not reported as waiting.
#[test]
fn classes_without_flows_and_processes_without_queues_show_nothing() {
  let state = json!({ "admission": [{ "service": "feeds", "queued": 0, "overloaded": false }] });
  assert_eq!(lines(&state), [] as [&str; 0]);
  assert_eq!(lines(&json!({ "path": {} })), [] as [&str; 0]);
}

/// An entry of another version must not hide the others.
#[test]
fn an_entry_that_cannot_be_read_is_left_out() {
  let state = json!({
    "admission": [
      { "service": "feeds", "priority": "high", "queued": 1 },
      { "service": "feeds", "priority": 1, "queued": 1, "callers": 1, "oldest_ms": 5 },
    ],
  });
  assert_eq!(
    lines(&state),
    ["feeds priority 1: 1 flow of 1 caller waits, the oldest for 5 ms; targets are busy"]
  );
}
