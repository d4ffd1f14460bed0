use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

use super::*;
use crate::dispatch::quarantine::{CrashId, Fingerprint, QuarantineStatus};
use crate::entry::fleet::message::{
    Datagram, MAX_DATAGRAM, decode_datagram, encode, encode_heartbeat,
};
use crate::entry::settings::Tuning;
use crate::entry::testing::{instance_with, settings};

/// Time after the third crash from which the request that caused them may be sent to hardly
/// any target; the time limit for instances out of touch.
const TOUCH_TIME: Duration = Duration::from_secs(3);
/// A request whose repeats crash each target that runs them.
const CRASHER: Fingerprint = Fingerprint(u64::MAX / 2);
/// Requests that run or wait at a target when it crashes: 6 slots, and a queue of 24.
const BESIDE: u64 = 30;
/// Time between two crashes.
const CRASH_INTERVAL: Duration = Duration::from_millis(110);

/// Instances that exchange heartbeats, without sockets.
struct Instances {
    states: IndexMap<SocketAddr, State>,
    now: Time,
    /// Datagrams sent so far.
    datagrams: usize,
    /// Every datagram whose number this divides is lost; `None` for none.
    loss: Option<usize>,
}

impl Instances {
    /// Instances in zones of these sizes that know each other.
    fn new(zones: &[u8], loss: Option<usize>) -> Self {
        let now = Time::from_secs(100);
        let mut states = IndexMap::new();
        for (zone, count) in (0..).zip(zones) {
            for number in 0..*count {
                let settings = settings([10, zone, 0, number], &format!("zone-{zone}"));
                states.insert(settings.peers, State::new(settings, Tuning::default(), now));
            }
        }
        let members: Vec<_> = states
            .iter()
            .map(|(address, state)| (*address, state.settings.zone.clone()))
            .collect();
        for state in states.values_mut() {
            for (address, zone) in &members {
                state.members.add(now, *address, zone);
            }
        }
        let mut instances = Self {
            states,
            now,
            datagrams: 0,
            loss,
        };
        // Every instance has heard of every other one.
        instances.run_until(now.after(Duration::from_secs(3)));
        instances
    }

    fn run_until(&mut self, end: Time) {
        let interval = Tuning::default().heartbeat_interval;
        while self.now < end {
            self.now = self.now.after(interval);
            for index in 0..self.states.len() {
                self.send_heartbeats(index);
            }
        }
    }

    fn send_heartbeats(&mut self, index: usize) {
        let (from, state) = self.states.get_index_mut(index).unwrap();
        let from = *from;
        let due = state.next_heartbeat(self.now, false);
        let same_zone = encode_heartbeat(due.heartbeat.clone(), &due.relayed).unwrap();
        let other_zones = encode_heartbeat(due.heartbeat, &[]).unwrap();
        for (bytes, peers) in [(same_zone, due.same_zone), (other_zones, due.other_zones)] {
            assert!(bytes.len() <= MAX_DATAGRAM, "{} bytes", bytes.len());
            let (datagram, relayed) = decode_datagram(&bytes).unwrap();
            let Datagram::Heartbeat(heartbeat) = datagram else {
                panic!("{datagram:?}");
            };
            for peer in peers {
                if self.is_lost() {
                    continue;
                }
                let receiver = self.states.get_mut(&peer).unwrap();
                receiver.receive_heartbeat(self.now, from, &heartbeat);
                receiver.receive_relayed(self.now, &relayed);
            }
        }
        self.send_news(index);
    }

    fn send_news(&mut self, index: usize) {
        let (from, state) = self.states.get_index_mut(index).unwrap();
        let from = *from;
        for (evidence, peers) in state.next_news(self.now, 0.3) {
            let bytes = encode(&Datagram::Evidence(evidence)).unwrap();
            assert!(bytes.len() <= MAX_DATAGRAM, "{} bytes", bytes.len());
            let (datagram, _) = decode_datagram(&bytes).unwrap();
            let Datagram::Evidence(evidence) = datagram else {
                panic!("{datagram:?}");
            };
            for peer in peers {
                if self.is_lost() {
                    continue;
                }
                let receiver = self.states.get_mut(&peer).unwrap();
                receiver.receive_evidence(self.now, from, &evidence);
            }
        }
    }

    fn is_lost(&mut self) -> bool {
        self.datagrams += 1;
        self.loss
            .is_some_and(|loss| self.datagrams.is_multiple_of(loss))
    }

    /// A target crashes under a request of the instance at `index`, and the requests of some
    /// instances beside it break off.
    fn crash(&mut self, run: u64, index: usize) {
        let target = SocketAddr::from(([10, 100, 0, 1], 1000 + u16::try_from(run).unwrap()));
        let count = self.states.len();
        let now = self.now;
        for beside in 0..BESIDE {
            let number = index + usize::try_from(beside).unwrap() % 5;
            let (_, state) = self.states.get_index_mut(number % count).unwrap();
            let mut hasher = SipHasher13::new();
            (run, beside).hash(&mut hasher);
            let fingerprint = Fingerprint(hasher.finish());
            state
                .quarantine
                .record_broken_call(now, target, [fingerprint]);
        }
        let (_, state) = self.states.get_index_mut(index % count).unwrap();
        state.quarantine.record_broken_call(now, target, [CRASHER]);
        for state in self.states.values_mut() {
            let id = CrashId::of_run(run);
            state.quarantine.record_crash(now, target, Some(id));
        }
    }

    /// A request crashes targets, each time through another instance; returns when the third
    /// one crashed.
    fn crash_targets(&mut self, crashes: u64) -> Time {
        let first = self.now;
        for run in 0..crashes {
            self.crash(run, usize::try_from(run).unwrap() * 3);
            self.run_until(self.now.after(CRASH_INTERVAL));
        }
        first.after(2 * CRASH_INTERVAL)
    }

    /// Instances that would send the request to a target.
    fn not_blocking(&self) -> Vec<SocketAddr> {
        let states = self.states.iter().filter(|(_, state)| {
            state.quarantine.status(self.now, CRASHER) != QuarantineStatus::Blocked
        });
        states.map(|(address, _)| *address).collect()
    }
}

/// Every crash breaks off many requests, and what is known of each competes for the same
/// heartbeats.
#[test]
fn a_request_that_crashed_targets_beside_many_others_is_blocked_in_time() {
    for loss in [None, Some(20)] {
        let mut instances = Instances::new(&[6, 5, 3], loss);
        let third = instances.crash_targets(3);
        instances.run_until(third.after(TOUCH_TIME));
        let not_blocking = instances.not_blocking();
        assert!(not_blocking.is_empty(), "loss {loss:?}: {not_blocking:?}");
    }
}

/// As in the record: crashes go on until no target is left.
#[test]
fn a_request_that_crashes_all_targets_of_a_service_is_blocked_in_time() {
    let mut instances = Instances::new(&[6, 5, 3], None);
    let third = instances.crash_targets(16);
    instances.run_until(third.after(TOUCH_TIME));
    let not_blocking = instances.not_blocking();
    assert!(not_blocking.is_empty(), "{not_blocking:?}");
}

#[test]
fn a_request_that_crashed_targets_is_blocked_in_time_in_a_large_membership() {
    let mut instances = Instances::new(&[30, 30, 30], None);
    let third = instances.crash_targets(3);
    instances.run_until(third.after(TOUCH_TIME));
    let not_blocking = instances.not_blocking();
    assert!(not_blocking.is_empty(), "{not_blocking:?}");
}

/// They are told in turn, and on to instances that did not hear it themselves.
#[test]
fn peers_learn_which_targets_say_that_they_are_leaving() {
    let ids = ["t0", "t1", "t2", "t3", "t4", "t5"];
    let targets = ids.map(|id| (id, ([127, 0, 0, 1], 1).into()));
    let instances = [(); 3].map(|()| instance_with(&targets));
    let now = Time::from_secs(100);
    let mut first = instances[0].state();
    let runs: Vec<u64> = first.targets.views().map(|view| view.key).collect();
    for run in &runs[..5] {
        first.record_leaving(now, *run, "response");
    }
    drop(first);
    for pair in instances.windows(2) {
        for _ in 0..2 {
            let heartbeat = pair[0].state().next_heartbeat(now, true).heartbeat;
            let from = ([127, 0, 0, 2], 7000).into();
            pair[1].state().receive_heartbeat(now, from, &heartbeat);
        }
    }
    let last = instances[2].state();
    let leaving = last.targets.views().filter(|view| view.is_leaving());
    assert_eq!(leaving.map(|view| view.key).collect::<Vec<_>>(), runs[..5]);
}
