use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::*;
use crate::account::cap::MAX_HOMES;
use crate::entry::fleet::members::InstanceStatus;
use crate::entry::fleet::message::Heartbeat;

const STEP: Duration = Duration::from_millis(20);
const PLAY_TIME: Duration = Duration::from_secs(24);
const WINDOW: Duration = Duration::from_secs(5);
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Interval of heartbeats between two instances, and the silence after which one counts as
/// gone, as in a large membership.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3200);
/// Time after which all instances in touch have a new configuration.
const CONFIGURATION_TIME: Duration = Duration::from_secs(2);

const SETTINGS: CapSettings = CapSettings {
    window: WINDOW,
    over: 0.1,
    slack: 20.0,
    start_empty: true,
    divide_by_side: true,
};

fn limit(rate: f64, burst: f64) -> AccountLimit {
    AccountLimit { rate, burst }
}

fn account(limit: AccountLimit) -> Account {
    Account {
        name: "hot".into(),
        keys: Vec::new(),
        priority: None,
        limit: Some(limit),
    }
}

fn key() -> u64 {
    account_key(&"hot".into())
}

enum Message {
    Heartbeat(Box<Heartbeat>),
    Request(TokenRequest),
    Grant(TokenGrant),
}

struct Node {
    address: SocketAddr,
    zone: ZoneName,
    members: Members,
    caps: AccountCaps,
    is_up: bool,
    side: usize,
    next_heartbeats: Time,
    /// When it learns of the limit in force.
    next_limit: Option<(Time, AccountLimit)>,
    waiting: Vec<Time>,
}

/// Instances that exchange messages over links with losses, delays and cuts.
struct Fleet {
    rng: StdRng,
    now: Time,
    settings: CapSettings,
    limit: AccountLimit,
    /// Chance that a message is lost, and that it arrives twice.
    loss: f64,
    nodes: Vec<Node>,
    in_flight: BTreeMap<(Time, u64), (usize, usize, Message)>,
    sent: u64,
    taken: Vec<Time>,
    refused: usize,
}

impl Fleet {
    /// Instances that have known each other for long.
    fn new(seed: u64, count: usize, settings: CapSettings, limit: AccountLimit) -> Self {
        let mut fleet = Self {
            rng: StdRng::seed_from_u64(seed),
            now: Time::from_secs(1000),
            settings,
            limit,
            loss: 0.0,
            nodes: Vec::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            taken: Vec::new(),
            refused: 0,
        };
        for _ in 0..count {
            fleet.add();
        }
        fleet.run_for(Duration::from_secs(15), 0.0);
        fleet
    }

    fn add(&mut self) {
        let number = self.nodes.len();
        let address = SocketAddr::from(([10, 0, 0, u8::try_from(number).unwrap()], 7000));
        let node = Node {
            address,
            zone: ZONES[number % ZONES.len()].into(),
            members: Members::new(address, SILENCE_TIMEOUT, Duration::from_secs(3600)),
            caps: AccountCaps::new(address, 0),
            is_up: true,
            side: 0,
            next_heartbeats: Time::ZERO,
            next_limit: None,
            waiting: Vec::new(),
        };
        self.nodes.push(node);
        self.start(number);
    }

    /// Starts the process of an instance anew. It gets the configuration and the list of
    /// instances from the store.
    fn start(&mut self, number: usize) {
        let known: Vec<_> = self
            .nodes
            .iter()
            .map(|node| (node.address, node.zone.clone()))
            .collect();
        let first_question = self.rng.random();
        let node = &mut self.nodes[number];
        let now = self.now;
        node.is_up = true;
        node.waiting.clear();
        node.members = Members::new(node.address, SILENCE_TIMEOUT, Duration::from_secs(3600));
        for (address, zone) in known {
            node.members.add(now, address, &zone);
        }
        node.caps = AccountCaps::new(node.address, first_question);
        node.caps.set_accounts(&[account(self.limit)]);
        node.next_limit = None;
        node.next_heartbeats = now;
    }

    fn kill(&mut self, number: usize) {
        self.nodes[number].is_up = false;
    }

    fn change_limit(&mut self, limit: AccountLimit) {
        self.limit = limit;
        for node in &mut self.nodes {
            let delay = CONFIGURATION_TIME.mul_f64(self.rng.random());
            node.next_limit = Some((self.now.after(delay), limit));
        }
    }

    fn send(&mut self, from: usize, to: usize, message: impl Fn() -> Message) {
        let copies = 1 + usize::from(self.rng.random_bool(self.loss / 2.0));
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let slow = self.rng.random_bool(self.loss);
            let delay = self.rng.random_range(1..if slow { 400 } else { 20 });
            let at = self.now.after(Duration::from_millis(delay));
            self.sent += 1;
            self.in_flight
                .insert((at, self.sent), (from, to, message()));
        }
    }

    fn deliver(&mut self) {
        while let Some(first) = self.in_flight.first_entry()
            && first.key().0 <= self.now
        {
            let (from, to, message) = first.remove();
            let (sender, receiver) = (&self.nodes[from], &self.nodes[to]);
            if !receiver.is_up || sender.side != receiver.side {
                continue;
            }
            let (now, address) = (self.now, sender.address);
            let node = &mut self.nodes[to];
            match message {
                Message::Heartbeat(heartbeat) => {
                    node.members.record_heartbeat(now, address, &heartbeat);
                }
                Message::Request(request) => {
                    let granted = node.caps.grant(now, &request);
                    self.send(to, from, || Message::Grant(granted));
                }
                Message::Grant(granted) => {
                    node.caps.receive(now, granted);
                }
            }
        }
    }

    /// One step in which each instance gets on average `requests`.
    fn step(&mut self, requests: f64) {
        self.now = self.now.after(STEP);
        self.deliver();
        let now = self.now;
        for number in 0..self.nodes.len() {
            if !self.nodes[number].is_up {
                continue;
            }
            let is_tick = now.as_micros() / 20_000 % 5 == u64::try_from(number).unwrap() % 5;
            let node = &mut self.nodes[number];
            if let Some((at, limit)) = node.next_limit
                && at <= now
            {
                node.caps.set_accounts(&[account(limit)]);
                node.next_limit = None;
            }
            if is_tick {
                node.caps
                    .update(now, self.settings, &node.members, &node.zone, false);
            }
            if node.next_heartbeats <= now {
                let interval = HEARTBEAT_INTERVAL.mul_f64(self.rng.random_range(0.8..1.1));
                node.next_heartbeats = now.after(interval);
                let heartbeat = Heartbeat {
                    zone: node.zone.clone(),
                    status: InstanceStatus::default(),
                    reports: Vec::new(),
                    member: None,
                    cases: Vec::new(),
                    evidence: Vec::new(),
                    limits: Vec::new(),
                    leaving: Vec::new(),
                };
                for other in (0..self.nodes.len()).filter(|other| *other != number) {
                    self.send(number, other, || {
                        Message::Heartbeat(Box::new(heartbeat.clone()))
                    });
                }
            }
            let mut arriving = requests;
            while arriving > 0.0 && self.rng.random_bool(arriving.min(1.0)) {
                self.nodes[number].waiting.push(now);
                self.nodes[number].caps.begin_wait(now, key());
                arriving -= 1.0;
            }
            self.serve_waiting(number);
        }
    }

    fn serve_waiting(&mut self, number: usize) {
        let now = self.now;
        let mut waiting = std::mem::take(&mut self.nodes[number].waiting);
        waiting.retain(|since| {
            let caps = &mut self.nodes[number].caps;
            match caps.next_step(now, key(), *since) {
                NextStep::Taken(_) => self.taken.push(now),
                NextStep::Refused { .. } => self.refused += 1,
                NextStep::Wait(message, _) => {
                    if let Some((home, request)) = message {
                        let nodes = &self.nodes;
                        let to = nodes.iter().position(|node| node.address == home).unwrap();
                        self.send(number, to, || Message::Request(request));
                    }
                    return true;
                }
            }
            self.nodes[number].caps.end_wait(key());
            false
        });
        self.nodes[number].waiting = waiting;
    }

    fn run_for(&mut self, duration: Duration, requests: f64) {
        let end = self.now.after(duration);
        while self.now < end {
            self.step(requests);
        }
    }

    /// Kills, restarts, joins, cuts and heals at random.
    fn disturb(&mut self) {
        let count = self.nodes.len();
        match self.rng.random_range(0..7) {
            0 => {
                let share = self.rng.random_range(0.05..0.6);
                for number in 0..count {
                    if self.rng.random_bool(share) {
                        self.kill(number);
                    }
                }
            }
            1 => {
                for number in 0..count {
                    if !self.nodes[number].is_up {
                        self.start(number);
                    }
                }
            }
            2 => {
                let share = self.rng.random_range(0.1..1.0);
                for number in 0..count {
                    if self.rng.random_bool(share) {
                        self.start(number);
                    }
                }
            }
            3 => {
                let sides = self.rng.random_range(2..4);
                for node in &mut self.nodes {
                    node.side = self.rng.random_range(0..sides);
                }
            }
            4 => {
                for node in &mut self.nodes {
                    node.side = 0;
                }
            }
            5 => {
                if count < 26 {
                    self.add();
                }
            }
            _ => self.loss = self.rng.random_range(0.0..0.3),
        }
    }

    /// The largest ratio of requests in a window that starts at `from` or later to what a
    /// limit allows.
    fn worst_window(&self, from: Time, limit: AccountLimit) -> f64 {
        let allowed = (limit.rate * WINDOW.as_secs_f64() + limit.burst)
            * (1.0 + self.settings.over)
            + self.settings.slack;
        let first = self.taken.partition_point(|at| *at < from);
        let taken = &self.taken[first..];
        let counts = taken.iter().enumerate().map(|(index, start)| {
            let end = taken.partition_point(|at| *at <= start.after(WINDOW));
            f64::from(u32::try_from(end - index).unwrap())
        });
        counts.fold(0.0, f64::max) / allowed
    }
}

/// The worst window of a play with disturbances, in which an account presses everywhere.
fn play(seed: u64, settings: CapSettings) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let rate = [1.2, 10.0, 60.0, 300.0][rng.random_range(0..4)];
    let burst = rate * [0.5, 1.0, 5.0][rng.random_range(0..3)];
    let old = limit(rate, burst);
    let mut fleet = Fleet::new(seed, rng.random_range(14..22), settings, old);
    let changed = limit(rate * 0.5, burst * 0.5);
    let change_at = rng.random_bool(0.5).then(|| rng.random_range(200..900));
    let pressing = rate * 3.0 * STEP.as_secs_f64() / 20.0;
    let mut settled = None;
    for step in 0..PLAY_TIME.as_millis() / STEP.as_millis() {
        if rng.random_bool(0.015) {
            fleet.disturb();
        }
        if change_at == Some(step) {
            fleet.change_limit(changed);
            settled = Some(fleet.now.after(CONFIGURATION_TIME + 2 * STEP));
        }
        fleet.step(pressing.max(0.03));
    }
    let worst = fleet.worst_window(Time::ZERO, old);
    let settled = settled.map(|from| fleet.worst_window(from, changed));
    worst.max(settled.unwrap_or_default())
}

#[test]
fn no_window_has_more_than_the_limit_over_all_instances() {
    arbtest::arbtest(|u| {
        let seed = u.arbitrary()?;
        let worst = play(seed, SETTINGS);
        assert!(worst <= 1.0, "seed {seed}: {worst}");
        Ok(())
    })
    .budget_ms(8000);
}

#[test]
fn whole_limits_on_each_side_of_a_partition_would_exceed_them() {
    let settings = CapSettings {
        divide_by_side: false,
        ..SETTINGS
    };
    assert!((8..40).any(|seed| play(seed, settings) > 1.0));
}

/// The worst window when all homes of an account with a large burst end after it has used
/// the burst, and others take their place.
fn worst_window_as_homes_end(settings: CapSettings) -> f64 {
    let limit = limit(20.0, 200.0);
    let mut fleet = Fleet::new(1, 20, settings, limit);
    let homes = fleet.nodes[0].caps.homes.order(key(), MAX_HOMES);
    fleet.run_for(Duration::from_millis(500), 3.0);
    for number in 0..fleet.nodes.len() {
        if homes.contains(&fleet.nodes[number].address) {
            fleet.kill(number);
        }
    }
    fleet.run_for(Duration::from_secs(6), 3.0);
    fleet.worst_window(Time::ZERO, limit)
}

#[test]
fn full_buckets_of_new_homes_would_exceed_the_limit() {
    assert!(worst_window_as_homes_end(SETTINGS) <= 1.0);
    let settings = CapSettings {
        start_empty: false,
        ..SETTINGS
    };
    assert!(worst_window_as_homes_end(settings) > 1.0);
}

/// Requests served and refused, which come to random instances at `use_of_limit` of the
/// rate, after `prepare`.
fn served(
    limit: AccountLimit,
    use_of_limit: f64,
    prepare: impl FnOnce(&mut Fleet),
) -> (usize, usize) {
    let mut fleet = Fleet::new(2, 20, SETTINGS, limit);
    prepare(&mut fleet);
    let requests = limit.rate * use_of_limit * STEP.as_secs_f64() / 20.0;
    fleet.run_for(Duration::from_secs(60), requests);
    (fleet.taken.len(), fleet.refused)
}

#[test]
fn accounts_below_their_limit_are_hardly_ever_refused() {
    for rate in [1.2, 12.0, 120.0] {
        let (taken, refused) = served(limit(rate, rate), 1.0 / 1.6, |_| {});
        assert!(refused * 200 <= taken, "rate {rate}: {refused} of {taken}");
    }
}

#[test]
fn an_account_that_presses_gets_nearly_its_limit() {
    let (taken, refused) = served(limit(60.0, 60.0), 3.0, |_| {});
    // A third of the requests is the limit.
    assert!(10 * taken > 3 * (taken + refused), "{taken}, {refused}");
}

#[test]
fn two_thirds_of_a_limit_remain_without_one_home() {
    let (taken, refused) = served(limit(12.0, 12.0), 1.0 / 1.6, |fleet| {
        let homes = fleet.nodes[0].caps.homes.order(key(), MAX_HOMES);
        let first = |node: &Node| node.address == homes[0];
        let number = fleet.nodes.iter().position(first).unwrap();
        fleet.kill(number);
    });
    assert!(refused * 20 <= taken, "{refused} of {taken}");
}
