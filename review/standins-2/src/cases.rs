//! The cases.

use {
  crate::{
    caller::{Flow, Outcome},
    record::Record,
    target::Target,
    world::{DEADLINE, DRAIN, Work, World, configuration, unix_ms},
  },
  std::{
    net::SocketAddrV4,
    path::{Path, PathBuf},
    sync::{
      Arc,
      atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
  },
};

/// How long a target serves on after `DrainMs`.
const SERVES_ON: Duration = Duration::from_secs(5);

/// Runs a case; whether its rule was broken, or none if it could not run.
pub fn run(case: &str, folder: &Path, program: PathBuf, trouble: bool) -> Option<bool> {
  let record = Arc::new(Record::new());
  record.say(&format!("case {case}, trouble: {trouble}"));
  let broken = match case {
    "born" => born(program, &record, trouble),
    "echo" => echo(program, &record, trouble),
    "foreign" => foreign(program, &record, trouble),
    "forgotten" => forgotten(program, &record, trouble, false),
    "rolled" => rolled(program, &record, trouble),
    "unlisted" => forgotten(program, &record, trouble, true),
    "reuse-drain" => reuse_drain(program, &record, trouble),
    "reuse-reset" => reuse_reset(program, &record, trouble),
    _ => None,
  };
  record.say(match broken {
    Some(true) => "the rule is broken",
    Some(false) => "the rule holds",
    None => "the case could not run",
  });
  record.write(&folder.join("record.txt"));
  broken
}

fn ms(time: u64) -> Duration {
  Duration::from_millis(time)
}

/// A balancer is cut off the store while agents that were frozen wake one after another; meanwhile a
/// target says that it leaves.
fn echo(program: PathBuf, record: &Arc<Record>, trouble: bool) -> Option<bool> {
  let mut world = World::start(program, record, 4, 10, false, Work::default())?;
  world.start_callers(12, 20_000, ms(60));
  thread::sleep(ms(2500));
  // The balancer that reads the store calls it most.
  let calls = || world.balancers.iter().map(|machine| machine.path.calls());
  let before = calls().collect::<Vec<_>>();
  thread::sleep(ms(4500));
  let made = calls().zip(&before).map(|(now, before)| now - before);
  let (_, index) = made.zip(0..).max()?;
  let reader = Arc::clone(&world.balancers[index]);
  let cut = record.now() + ms(3400);
  record.say(&format!("{} reads the store", reader.name));
  let schedule = [(-3200, 300, 0), (-1900, 1600, 1), (-600, 2900, 2)];
  let acked = thread::scope(|scope| {
    let world = &world;
    for (from, to, agent) in schedule {
      let machine = &world.agents[agent];
      scope.spawn(move || {
        let at = |offset: i64| Duration::from_millis((cut.as_millis() as i64 + offset) as u64);
        world.wait_until(at(from));
        if trouble {
          world.cluster.signal(machine, "STOP");
        }
        world.wait_until(at(to));
        if trouble {
          world.cluster.signal(machine, "CONT");
        }
      });
    }
    world.wait_until(cut);
    if trouble {
      reader.path.set_cut(true);
      record.say(&format!("{} is cut off the store", reader.name));
    }
    world.wait_until(cut + ms(100));
    world.targets[3].set_draining(true);
    let acked = world.put_target(4, "draining", None);
    world.wait_until(cut + ms(5500));
    reader.path.set_cut(false);
    record.say(&format!("{} reaches the store again", reader.name));
    acked
  });
  world.wait_until(acked + DRAIN + SERVES_ON);
  world.store.remove("servers/t4");
  world.stop_callers();
  Some(world.late_openings(4, acked, &[&reader]) > 0)
}

/// All processes are killed as the final fault, and another writer's entries appear in the target
/// list, for a service that is not named in the configuration.
fn foreign(program: PathBuf, record: &Arc<Record>, trouble: bool) -> Option<bool> {
  let mut world = World::start(program, record, 2, 3, false, Work::default())?;
  world.start_callers(6, 20_000, ms(60));
  let traffic = record.now();
  thread::sleep(Duration::from_secs(8));
  let fault = record.now();
  let kills = std::env::var("KILL").as_deref() != Ok("0");
  if trouble {
    for machine in world.cluster.machines.iter().filter(|_| kills) {
      world.cluster.signal(machine, "KILL");
      world.cluster.wait_end(machine);
    }
    if std::env::var("FOREIGN").as_deref() != Ok("0") {
      for number in 1..=3 {
        let address = SocketAddrV4::new(*world.cluster.app(number).ip(), 9100);
        let json = format!(
          "{{\"Service\":\"node-exporter\",\"Address\":\"{address}\",\"Zone\":\"z1\",\
           \"Version\":\"v1\",\"Capacity\":1,\"State\":\"ready\",\"WarmupLeftMs\":0,\"Sequence\":1}}"
        );
        world
          .store
          .put(&format!("servers/exporter-{number}"), &json);
        record.say(&format!("store: took servers/exporter-{number} {json}"));
      }
    }
    thread::sleep(ms(1100));
    for machine in world.cluster.machines.iter().filter(|_| kills) {
      world.cluster.start(machine);
    }
  }
  let back = record.now();
  let recovered = back + Duration::from_secs(12);
  world.wait_until(recovered + Duration::from_secs(6));
  let end = record.now();
  world.stop_callers();
  let (before, of_before) = world.served(traffic, fault);
  let (after, of_after) = world.served(recovered, end);
  record.say(&format!(
    "before the fault {before} of {of_before} requests were served"
  ));
  record.say(&format!(
    "from 12 s after it on {after} of {of_after} requests were served"
  ));
  if 4 * before < of_before || of_after == 0 {
    return None;
  }
  Some(4 * after < of_after)
}

/// Requesters use a port again once its flow has closed; a target is emptied and taken away.
fn reuse_drain(program: PathBuf, record: &Arc<Record>, trouble: bool) -> Option<bool> {
  let mut world = World::start(program, record, 2, 3, false, Work::default())?;
  let fresh = std::env::var("FRESH").as_deref() == Ok("1");
  world.start_callers(12, if fresh { 20_000 } else { 60 }, ms(60));
  thread::sleep(Duration::from_secs(12));
  let acked = if trouble {
    world.targets[1].set_draining(true);
    world.put_target(2, "draining", None)
  } else {
    Duration::MAX / 4
  };
  thread::sleep(DRAIN + SERVES_ON);
  if trouble {
    world.store.remove("servers/t2");
  }
  world.stop_callers();
  Some(world.late_openings(2, acked, &[]) > 0)
}

/// A requester's flow that keeps asking, and how it ended.
fn follow(
  caller: &mut crate::caller::Caller,
  flow: &mut Flow,
  stop: &AtomicBool,
  record: &Record,
) -> bool {
  let mut owner = None;
  while !stop.load(Ordering::SeqCst) {
    match caller.ask(flow, false, DEADLINE) {
      Outcome::Done(signature) => owner = Some(signature),
      Outcome::Reset { by_target } => {
        record.say(&format!(
          "FLOW: {}>{}, open at {}, is reset by {}",
          flow.from,
          flow.to,
          owner.as_deref().unwrap_or("no target"),
          if by_target { "a target" } else { "the system" }
        ));
        // A flow that was answered is open.
        return !by_target && owner.is_some();
      }
      Outcome::Silence => return false,
    }
    thread::sleep(ms(300));
  }
  false
}

/// Each requester uses the port of a flow that has closed for a feed, while a balancer is stopped and
/// started again.
fn reuse_reset(program: PathBuf, record: &Arc<Record>, trouble: bool) -> Option<bool> {
  let mut world = World::start(program, record, 3, 4, false, Work::default())?;
  let route = world.cluster.route(1);
  let (closed, reopen, stop) = (
    AtomicUsize::new(0),
    AtomicBool::new(false),
    AtomicBool::new(false),
  );
  let (opened, reset) = (AtomicUsize::new(0), AtomicUsize::new(0));
  const CALLERS: u8 = 40;
  thread::scope(|scope| {
    for number in 1..=CALLERS {
      let mut caller = world.caller(number);
      let (closed, reopen, stop, opened, reset) = (&closed, &reopen, &stop, &opened, &reset);
      scope.spawn(move || {
        thread::sleep(ms(20 * u64::from(number)));
        if let Outcome::Done(mut flow) = caller.open(20_000, route) {
          if let Outcome::Done(_) = caller.ask(&mut flow, true, DEADLINE) {
            closed.fetch_add(1, Ordering::SeqCst);
          }
        }
        while !reopen.load(Ordering::SeqCst) {
          thread::sleep(ms(10));
        }
        if let Outcome::Done(mut flow) = caller.open(20_000, route) {
          opened.fetch_add(1, Ordering::SeqCst);
          if follow(&mut caller, &mut flow, stop, record) {
            reset.fetch_add(1, Ordering::SeqCst);
          }
        }
      });
    }
    thread::sleep(ms(3000));
    record.say(&format!(
      "{} flows have closed at both ends",
      closed.load(Ordering::SeqCst)
    ));
    let balancer = &world.balancers[2];
    if trouble {
      world.cluster.signal(balancer, "TERM");
      // Two missed checks, and the routers send its packets to others.
      thread::sleep(ms(1400));
    }
    reopen.store(true, Ordering::SeqCst);
    if trouble {
      world.cluster.wait_end(balancer);
      thread::sleep(ms(500));
      world.cluster.start(balancer);
    }
    thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::SeqCst);
  });
  world.stop_callers();
  let (opened, reset) = (opened.into_inner(), reset.into_inner());
  record.say(&format!(
    "{opened} feeds were opened from ports of closed flows, {reset} of them were reset by the system"
  ));
  if opened < usize::from(CALLERS) / 2 {
    return None;
  }
  Some(reset > 0)
}

/// A target goes down and up by turns while the time of day jumps on its machine, starting each time
/// under the same id; long after, it says that it leaves.
fn born(program: PathBuf, record: &Arc<Record>, trouble: bool) -> Option<bool> {
  // Seven targets can't serve the load alone, so that the eighth gets flows after each start.
  let work = Work {
    slots: 2,
    time: ms(100),
  };
  let mut world = World::start(program, record, 2, 8, true, work)?;
  world.start_callers(28, 20_000, ms(20));
  let start = record.now();
  let jump = if trouble { 2400 } else { 0 };
  let target = Arc::clone(&world.targets[0]);
  let restart = |target: &Target, world: &World, up_at: u64, clock_back: u64| {
    target.set_up(false);
    record.say("t1: crashes");
    world.wait_until(start + ms(up_at));
    let born = unix_ms() - clock_back;
    target.set_up(true);
    record.say("t1: starts again under its id");
    world.put_target(1, "ready", Some(born));
    born
  };
  world.wait_until(start + ms(5000));
  restart(&target, &world, 6000, 0);
  world.wait_until(start + ms(6500));
  record.say(&format!(
    "the time of day on the machine of t1 jumps back by {jump} ms"
  ));
  world.wait_until(start + ms(7000));
  let born = restart(&target, &world, 8000, jump);
  world.wait_until(start + ms(12_500));
  record.say("the time of day on the machine of t1 is right again");
  world.wait_until(start + ms(18_000));
  target.set_draining(true);
  let acked = world.put_target(1, "draining", Some(born));
  world.wait_until(acked + DRAIN + SERVES_ON);
  world.store.remove("servers/t1");
  world.stop_callers();
  Some(world.late_openings(1, acked, &[]) > 0)
}

/// Flows are open at a service that a later configuration takes off their route, or (`unlisted`) at
/// targets whose entries go without `draining`. All processes are killed at once; long after, the
/// requesters send their next requests.
fn forgotten(
  program: PathBuf,
  record: &Arc<Record>,
  trouble: bool,
  unlisted: bool,
) -> Option<bool> {
  let (balancers, agents) = if unlisted { (4, (5, 0)) } else { (3, (3, 2)) };
  let mut world = World::start_with(program, record, balancers, agents, false, Work::default())?;
  let route = world.cluster.route(1);
  let (go, held, lost) = (
    AtomicBool::new(false),
    AtomicUsize::new(0),
    AtomicUsize::new(0),
  );
  thread::scope(|scope| {
    for number in 1..=60 {
      let mut caller = world.caller(number);
      let (go, held, lost) = (&go, &held, &lost);
      scope.spawn(move || {
        thread::sleep(ms(10 * u64::from(number)));
        let Outcome::Done(mut flow) = caller.open(20_000, route) else {
          return;
        };
        let Outcome::Done(owner) = caller.ask(&mut flow, false, DEADLINE) else {
          return;
        };
        // Targets 4 and 5 are of the second service, or leave the list.
        if owner != "t4" && owner != "t5" {
          return;
        }
        held.fetch_add(1, Ordering::SeqCst);
        while !go.load(Ordering::SeqCst) {
          thread::sleep(ms(10));
        }
        if let Outcome::Reset { by_target: false } = caller.ask(&mut flow, false, DEADLINE) {
          lost.fetch_add(1, Ordering::SeqCst);
          record.say(&format!(
            "FLOW: {}>{}, open at {owner}, is reset by the system",
            flow.from, flow.to
          ));
        }
      });
    }
    thread::sleep(ms(1500));
    if unlisted {
      world.store.remove("servers/t4");
      world.store.remove("servers/t5");
      record.say("store: the entries of t4 and t5 are gone");
    } else {
      let json = configuration(route, 3, false);
      world.store.put("op/config", &json);
      record.say(&format!("store: took op/config {json}"));
    }
    thread::sleep(ms(3500));
    if trouble {
      for machine in &world.cluster.machines {
        world.cluster.signal(machine, "KILL");
      }
      for machine in &world.cluster.machines {
        world.cluster.wait_end(machine);
      }
      thread::sleep(ms(500));
      for machine in &world.cluster.machines {
        world.cluster.start(machine);
      }
    }
    thread::sleep(ms(5500));
    record.say("the requesters send their next requests");
    go.store(true, Ordering::SeqCst);
  });
  world.stop_callers();
  let (held, lost) = (held.into_inner(), lost.into_inner());
  record.say(&format!(
    "{held} flows were open at targets 4 and 5, {lost} of them were reset"
  ));
  if held < 5 {
    return None;
  }
  Some(lost > 0)
}

/// Flows are open at a service that a later configuration takes off their route. All processes are
/// stopped and started in turn, as planned, while further configurations come.
fn rolled(program: PathBuf, record: &Arc<Record>, trouble: bool) -> Option<bool> {
  let mut world = World::start_with(program, record, 3, (3, 2), false, Work::default())?;
  let route = world.cluster.route(1);
  let (stop, held, lost) = (
    AtomicBool::new(false),
    AtomicUsize::new(0),
    AtomicUsize::new(0),
  );
  let idles = std::env::var("IDLE").as_deref() == Ok("1");
  thread::scope(|scope| {
    for number in 1..=60 {
      let mut caller = world.caller(number);
      let (stop, held, lost) = (&stop, &held, &lost);
      scope.spawn(move || {
        thread::sleep(ms(10 * u64::from(number)));
        let Outcome::Done(mut flow) = caller.open(20_000, route) else {
          return;
        };
        let Outcome::Done(owner) = caller.ask(&mut flow, false, DEADLINE) else {
          return;
        };
        if owner != "t4" && owner != "t5" {
          return;
        }
        held.fetch_add(1, Ordering::SeqCst);
        loop {
          let is_last = stop.load(Ordering::SeqCst);
          if (!idles || is_last)
            && let Outcome::Reset { by_target: false } = caller.ask(&mut flow, false, DEADLINE)
          {
            lost.fetch_add(1, Ordering::SeqCst);
            record.say(&format!(
              "FLOW: {}>{}, open at {owner}, is reset by the system",
              flow.from, flow.to
            ));
            return;
          }
          if is_last {
            return;
          }
          thread::sleep(ms(if idles { 20 } else { 700 }));
        }
      });
    }
    thread::sleep(ms(1500));
    let mut version = 3;
    let configure = |version| {
      let json = configuration(route, version, false);
      world.store.put("op/config", &json);
    };
    configure(version);
    thread::sleep(ms(1500));
    if trouble {
      for machine in &world.cluster.machines {
        world.cluster.signal(machine, "TERM");
        world.cluster.wait_end(machine);
        thread::sleep(ms(300));
        version += 2;
        configure(version);
        thread::sleep(ms(200));
        world.cluster.start(machine);
        version += 2;
        configure(version);
        thread::sleep(ms(400));
      }
    }
    thread::sleep(ms(500));
    stop.store(true, Ordering::SeqCst);
  });
  world.stop_callers();
  let (held, lost) = (held.into_inner(), lost.into_inner());
  record.say(&format!(
    "{held} flows were open at targets 4 and 5, {lost} of them were reset"
  ));
  (held >= 5).then_some(lost > 0)
}
