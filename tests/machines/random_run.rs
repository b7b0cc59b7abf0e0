//! A long randomised run: targets are added, drained and killed, while balancers have outdated
//! configurations and consider targets silent, rightly or not.

use {
  super::world::{Fate, World, target},
  fallwell::{Code, wire::Flow},
  proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
  },
  std::env,
};

/// A step of the run. Numbers choose a balancer, target or flow, modulo how many there are.
#[derive(Clone, Debug)]
enum Step {
  AddTarget,
  KillTarget(usize),
  DrainTarget(usize),
  OpenFlow(usize, u64),
  SendPacket(usize, usize),
  RestartBalancer(usize, usize),
  UndrainTarget(usize),
  SetSilent(usize, usize),
  ClearSilent(usize),
  UpdateBalancer(usize),
}

fn step() -> impl Strategy<Value = Step> {
  let pick = any::<usize>;
  prop_oneof![
    1 => Just(Step::AddTarget),
    1 => pick().prop_map(Step::KillTarget),
    1 => pick().prop_map(Step::DrainTarget),
    8 => (pick(), any::<u64>()).prop_map(|(balancer, key)| Step::OpenFlow(balancer, key)),
    20 => (pick(), pick()).prop_map(|(balancer, flow)| Step::SendPacket(balancer, flow)),
    1 => (pick(), pick()).prop_map(|(balancer, peer)| Step::RestartBalancer(balancer, peer)),
    1 => pick().prop_map(Step::UndrainTarget),
    3 => (pick(), pick()).prop_map(|(balancer, target)| Step::SetSilent(balancer, target)),
    1 => pick().prop_map(Step::ClearSilent),
    4 => pick().prop_map(Step::UpdateBalancer),
  ]
}

const BALANCERS: usize = 4;

#[derive(Debug, Default)]
struct Counts {
  broken: u64,
  delivered: u64,
  opened: u64,
  refused: u64,
}

struct Run {
  counts: Counts,
  last_target: u32,
  world: World,
}

impl Run {
  fn apply(&mut self, step: &Step) {
    match *step {
      Step::AddTarget => self.add(),
      Step::KillTarget(pick) => self.kill(pick),
      Step::DrainTarget(pick) => self.set_leaving(pick, true),
      Step::OpenFlow(balancer, key) => self.open(balancer % BALANCERS, key),
      Step::SendPacket(balancer, pick) => self.send(balancer % BALANCERS, pick),
      Step::RestartBalancer(balancer, peer) => {
        if balancer % BALANCERS != peer % BALANCERS {
          self
            .world
            .restart_balancer(balancer % BALANCERS, peer % BALANCERS);
        }
      }
      Step::UndrainTarget(pick) => self.set_leaving(pick, false),
      Step::SetSilent(balancer, pick) => {
        let targets = self.world.targets.keys().copied().collect::<Vec<_>>();
        let target = targets[pick % targets.len()];
        self.world.balancers[balancer % BALANCERS]
          .silent
          .insert(target);
      }
      Step::ClearSilent(balancer) => self.world.balancers[balancer % BALANCERS].silent.clear(),
      Step::UpdateBalancer(balancer) => self.world.update_balancer(balancer % BALANCERS),
    }
  }

  fn add(&mut self) {
    if self.world.targets.len() >= 10 {
      return;
    }
    self.last_target += 1;
    self
      .world
      .targets
      .insert(self.last_target, target(self.last_target));
    self.world.start_agent(self.last_target);
    self.world.publish();
  }

  /// Kills a target and forgets its flows; no other flow may be lost with it.
  fn kill(&mut self, pick: usize) {
    if self.world.targets.len() <= 3 {
      return;
    }
    let ids = self.world.targets.keys().copied().collect::<Vec<_>>();
    let dead = ids[pick % ids.len()];
    if let Some(agent) = self.world.agents.get_mut(&dead) {
      agent.alive = false;
    }
    self.world.flows.retain(|_, owner| *owner != dead);
    self.world.targets.remove(&dead);
    self.world.publish();
  }

  fn set_leaving(&mut self, pick: usize, leaving: bool) {
    let live = self
      .world
      .targets
      .values()
      .filter(|target| !target.leaving)
      .count();
    if leaving && live <= 2 {
      return;
    }
    let ids = self.world.targets.keys().copied().collect::<Vec<_>>();
    if let Some(target) = self.world.targets.get_mut(&ids[pick % ids.len()]) {
      target.leaving = leaving;
    }
    self.world.publish();
  }

  fn open(&mut self, balancer: usize, key: u64) {
    let flow = Flow::Keyed { key, opens: true };
    match self.world.send_with_retries(balancer, flow) {
      Fate::Opened(at) => {
        let before = self.world.flows.insert(key, at);
        assert_eq!(before, None, "a flow was opened twice");
        self.counts.opened += 1;
      }
      Fate::Delivered(at, _) => assert_eq!(self.world.flows.get(&key), Some(&at)),
      Fate::Lost(_) | Fate::Refused(_) => self.counts.refused += 1,
    }
  }

  fn send(&mut self, balancer: usize, pick: usize) {
    let mut keys = self.world.flows.keys().copied().collect::<Vec<_>>();
    if keys.is_empty() {
      return;
    }
    keys.sort_unstable();
    let key = keys[pick % keys.len()];
    let flow = Flow::Keyed { key, opens: false };
    let owner = self.world.flows[&key];
    if self.world.knows_only_dead_targets(balancer) {
      // The balancer can't reach any target until its configuration is updated.
      self.counts.refused += 1;
      return;
    }
    match self.world.send_with_retries(balancer, flow) {
      Fate::Delivered(at, _) if at == owner => self.counts.delivered += 1,
      Fate::Refused(Code::NotReady) => self.counts.refused += 1,
      fate => {
        self.counts.broken += 1;
        let trace = &self.world.trace;
        panic!("packet of a flow at {owner} through balancer {balancer}: {fate:?}, {trace:#?}");
      }
    }
  }
}

#[test]
fn no_flow_breaks_in_a_long_random_run() {
  let number = |name, default: u64| {
    env::var(name)
      .ok()
      .and_then(|text| text.parse().ok())
      .unwrap_or(default)
  };
  let seed = number("FALLWELL_SEED", 1);
  let cases = number("FALLWELL_CASES", 64);
  let length = number("FALLWELL_LENGTH", 400);
  println!("seed {seed}, {cases} runs of up to {length} steps");
  let mut bytes = [0; 32];
  bytes[..8].copy_from_slice(&seed.to_be_bytes());
  let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
  let config = Config {
    cases: cases as u32,
    failure_persistence: None,
    max_shrink_iters: 2000,
    ..Config::default()
  };
  let steps = prop::collection::vec(step(), 1..length as usize);
  let result = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
    let mut run = Run {
      counts: Counts::default(),
      last_target: 7,
      world: World::new(7, BALANCERS),
    };
    for step in &steps {
      run.apply(step);
    }
    Ok(())
  });
  if let Err(error) = result {
    panic!("{error}");
  }
}
