//! Prints what the limits of client accounts cost an instance: the time of a request that
//! asks a home and takes its token, and the memory of an account that is in use.

use std::hint::black_box;
use std::time::{Duration, Instant};

use wagtailsaddle::account::AccountLimit;
use wagtailsaddle::account::cap::{CapSettings, HomeBuckets, HomeShare, MAX_HOMES};
use wagtailsaddle::account::lease::{Decision, Leases};
use wagtailsaddle::units::Time;

const REQUESTS: u64 = 1_000_000;
const STARTED: Time = Time::from_secs(10);
const NOW: Time = Time::from_secs(1000);

fn main() {
    for accounts in [79, 10_000, 100_000] {
        let before = resident_bytes();
        let (mut leases, mut buckets) = (Leases::default(), HomeBuckets::default());
        for account in 0..accounts {
            serve(&mut leases, &mut buckets, NOW, account);
        }
        let bytes = (resident_bytes() - before) / i64::try_from(accounts).unwrap_or(1);
        let start = Instant::now();
        for request in 0..REQUESTS {
            let now = NOW.after(Duration::from_micros(request));
            let account = request.wrapping_mul(0x9e37_79b9_7f4a_7c15) % accounts;
            serve(&mut leases, &mut buckets, now, account);
        }
        let per_request = start.elapsed().as_nanos() / u128::from(REQUESTS);
        println!("{accounts} accounts: {per_request} ns a request, {bytes} bytes an account");
    }
}

/// Serves a request of an account whose home is the instance itself.
fn serve(leases: &mut Leases, buckets: &mut HomeBuckets, now: Time, account: u64) {
    let limit = AccountLimit {
        rate: 1e6,
        burst: 1e6,
    };
    let share = HomeShare::new(limit, &CapSettings::default(), 1.0);
    leases.begin_wait(now, account);
    let mut decision = leases.next(now, account, now, MAX_HOMES);
    if let Decision::Ask { number, want, .. } = decision {
        let granted = buckets.grant(now, account, STARTED, &share, want);
        leases.receive(now, number, granted);
        decision = leases.next(now, account, now, MAX_HOMES);
    }
    assert!(matches!(black_box(decision), Decision::Taken(_)));
    leases.end_wait(account);
}

/// Memory of this process.
fn resident_bytes() -> i64 {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let resident = pages.split(' ').nth(1).and_then(|text| text.parse().ok());
    resident.unwrap_or(0) * 4096
}
