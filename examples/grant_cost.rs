//! Prints the time that one grant and release of a slot takes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wagtailsaddle::admission::permit::{
    CallReport, CallResult, PermitId, SlotOutcome, SlotRequest,
};
use wagtailsaddle::admission::shard::{Shard, ShardSettings};
use wagtailsaddle::resource::Rank;
use wagtailsaddle::units::{Clock, Time};
use wagtailsaddle::{CallerName, TargetId};

/// Number of grants and releases to time.
const ROUNDS: u64 = 1_000_000;

fn main() {
    for (targets, running) in [(6, 0), (6, 20), (20, 60)] {
        let cost = cost(targets, running);
        println!("{targets} targets, {running} calls running: {cost:?} per grant and release");
    }
}

fn cost(targets: usize, running: u64) -> Duration {
    let clock = Clock::start();
    let mut shard = Shard::new(ShardSettings {
        warm_up: Duration::ZERO,
        ..ShardSettings::default()
    });
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let listed = (0..targets).map(|n| (TargetId::from(format!("target-{n}")), address, false));
    shard.set_targets(clock.now(), listed);
    for id in 1..=running {
        let _ = shard.request_slot(clock.now(), slot_request(id));
    }
    let report = CallReport {
        result: CallResult::Completed,
        latency_us: 1_000,
        load: None,
    };
    let start = Instant::now();
    for id in running + 1..=running + ROUNDS {
        let (outcome, _) = shard.request_slot(clock.now(), slot_request(id));
        assert!(
            matches!(outcome, SlotOutcome::Granted(_)),
            "no slot is free"
        );
        let _ = shard.release(clock.now(), PermitId(id), &report);
    }
    start.elapsed() / u32::try_from(ROUNDS).unwrap_or(u32::MAX)
}

fn slot_request(id: u64) -> SlotRequest {
    SlotRequest {
        id: PermitId(id),
        rank: Rank(1),
        caller: CallerName::from("caller"),
        deadline: Time::MAX,
        borrower: None,
        may_wait: true,
        excluded: Vec::new(),
    }
}
