//! Replays a load above what a service can run: one account sends many times its usual.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::*;

/// Slots that the instance may use, which run 40 requests a second of [`COST`].
const SLOTS: usize = 4;
/// Time that each caller has.
const PATIENCE: Duration = Duration::from_millis(600);
/// Accounts that together send half of what the service can run.
const QUIET_ACCOUNTS: usize = 40;
/// Requests a second of each of them.
const QUIET_RATE: f64 = 0.5;
/// Requests a second of the account that sends more than the service can run.
const HOT_RATE: f64 = 120.0;
const SECONDS: u32 = 60;

/// Requests of an account: sent, and answered in time.
type Counts = BTreeMap<String, (u32, u32)>;

/// Plays the load with steps of a millisecond; accounts are told apart if `fair`.
fn play(fair: bool) -> Counts {
    let mut rng = StdRng::seed_from_u64(33);
    let mut queue = WaitQueue::default();
    let mut waiting: Vec<(Ticket, String)> = Vec::new();
    let mut running: Vec<Time> = Vec::new();
    let mut counts = Counts::new();
    let accounts: Vec<(String, f64)> = (0..QUIET_ACCOUNTS)
        .map(|number| (format!("quiet-{number}"), QUIET_RATE))
        .chain([("hot".to_owned(), HOT_RATE)])
        .collect();
    for millisecond in 0..u64::from(SECONDS) * 1000 {
        let now = Time::ZERO.after(Duration::from_millis(millisecond));
        running.retain(|until| *until > now);
        for (name, rate) in &accounts {
            if !rng.random_bool(rate / 1000.0) {
                continue;
            }
            counts.entry(name.clone()).or_default().0 += 1;
            let flow = flow(1, if fair { name } else { "" });
            let deadline = now.after(PATIENCE);
            let ticket = queue.try_enqueue(now, flow, deadline, COST, &busy(now, &running));
            waiting.extend(ticket.map(|ticket| (ticket, name.clone())));
        }
        queue.review(now, &busy(now, &running));
        waiting.retain(|(ticket, _)| queue.contains(ticket));
        while running.len() < SLOTS
            && let Some(index) = waiting
                .iter()
                .position(|(ticket, _)| queue.may_proceed(Some(ticket), &ticket.flow))
        {
            let (ticket, name) = waiting.swap_remove(index);
            queue.record_sent(&ticket.flow, COST);
            queue.remove(&ticket);
            running.push(now.after(COST));
            counts.entry(name).or_default().1 += 1;
        }
    }
    counts
}

/// What the slots can run of which some are taken.
fn busy(now: Time, running: &[Time]) -> Supply {
    let mut supply = supply(SLOTS);
    for (free_in, until) in supply.free_in.iter_mut().zip(running) {
        *free_in = until.since(now);
    }
    supply
}

#[expect(clippy::cast_precision_loss, reason = "some dozens")]
fn count(count: usize) -> f64 {
    count as f64
}

/// Share of the requests of the worst-served tenth of accounts that were answered.
fn worst_tenth(counts: &Counts) -> f64 {
    let share = |(sent, answered): &(u32, u32)| f64::from(*answered) / f64::from(*sent);
    let mut shares: Vec<f64> = counts.values().map(share).collect();
    shares.sort_by(f64::total_cmp);
    let tenth = shares.len() / 10;
    shares[..tenth].iter().sum::<f64>() / count(tenth)
}

#[test]
fn a_hot_account_pays_itself_and_no_capacity_is_idle() {
    let counts = play(true);
    let (sent, answered) = counts["hot"];
    assert!(answered * 2 < sent, "{counts:?}");
    let quiet: Counts = counts
        .into_iter()
        .filter(|(name, _)| name != "hot")
        .collect();
    assert!(worst_tenth(&quiet) > 0.95, "{quiet:?}");
    let all: u32 = quiet.values().map(|(_, answered)| answered).sum::<u32>() + answered;
    let capacity = 40 * SECONDS;
    assert!(all * 100 >= capacity * 97, "{all} of {capacity}");
    // The load is one that starves accounts which are not told apart.
    let unfair = worst_tenth(&play(false));
    assert!(unfair < 0.5, "{unfair}");
}
