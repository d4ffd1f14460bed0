//! What must hold, checked over what callers and targets saw.

use std::net::IpAddr;
use std::time::Duration;

use indexmap::IndexMap;

/// Time around a fault of an instance in which it may cut requests.
const EXCUSED: Duration = Duration::from_secs(1);

/// How a call ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ended {
    /// With an answer.
    Answered {
        /// Its status.
        status: u16,
        /// Whether it names this call, and a success holds what the call asked for.
        own: bool,
    },
    /// The connection ended without an answer.
    Cut,
    /// No answer came in time.
    TimedOut,
    /// No connection could be opened.
    NotConnected,
}

/// One call as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Its id.
    pub id: String,
    /// Whether it may run once only.
    pub once: bool,
    /// The instance that it was sent to.
    pub instance: IpAddr,
    /// When it was sent, from the start of the callers.
    pub sent: Duration,
    /// When it ended.
    pub ended: Duration,
    /// How it ended.
    pub how: Ended,
}

/// A time in which an instance was killed, paused or started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disturbed {
    /// The instance.
    pub instance: IpAddr,
    /// From when.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
}

/// A version that an instance said it had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seen {
    /// The instance.
    pub instance: IpAddr,
    /// Which of its processes.
    pub process: usize,
    /// The version of its configuration.
    pub version: u64,
}

/// Everything that was seen in a run.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// The calls.
    pub calls: Vec<Call>,
    /// How often targets ran each request.
    pub runs: IndexMap<String, u32>,
    /// How often each request reached targets.
    pub arrivals: IndexMap<String, u32>,
    /// Faults of instances.
    pub disturbed: Vec<Disturbed>,
    /// Versions, in the order in which they were seen.
    pub versions: Vec<Seen>,
    /// The length of the run.
    pub length: Duration,
}

/// The bound of repeats, as in the instances' settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatBound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside it in a window.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// What did not hold, a line each.
#[must_use]
pub fn findings(evidence: &Evidence, bound: RepeatBound) -> Vec<String> {
    let mut found = Vec::new();
    for call in &evidence.calls {
        found.extend(wrong_answer(evidence, call));
        found.extend(cut_by_a_live_instance(evidence, call));
    }
    found.extend(versions_that_went_back(evidence));
    found.extend(too_many_repeats(evidence, bound));
    found
}

fn runs(evidence: &Evidence, call: &Call) -> u32 {
    evidence.runs.get(&call.id).copied().unwrap_or_default()
}

fn wrong_answer(evidence: &Evidence, call: &Call) -> Option<String> {
    let runs = runs(evidence, call);
    if call.once && runs > 1 {
        return Some(format!("{} ran {runs} times", call.id));
    }
    let Ended::Answered { status, own } = call.how else {
        return None;
    };
    let says_not_run = matches!(status, 408 | 421 | 429 | 503);
    if call.once && says_not_run && runs > 0 {
        return Some(format!("{} was answered {status} and ran", call.id));
    }
    if status == 404 {
        return Some(format!("{} was answered 404, its route was there", call.id));
    }
    (!own).then(|| format!("{} got another call's answer or a part of one", call.id))
}

fn cut_by_a_live_instance(evidence: &Evidence, call: &Call) -> Option<String> {
    if call.how != Ended::Cut || runs(evidence, call) == 0 {
        return None;
    }
    let excused = evidence.disturbed.iter().any(|fault| {
        fault.instance == call.instance
            && fault.from <= call.ended + EXCUSED
            && call.sent <= fault.until + EXCUSED
    });
    (!excused).then(|| {
        format!(
            "{} ran and was cut by {} at {:?}, which nothing had happened to",
            call.id, call.instance, call.ended
        )
    })
}

fn versions_that_went_back(evidence: &Evidence) -> Vec<String> {
    let mut highest: IndexMap<(IpAddr, usize), u64> = IndexMap::new();
    let mut found = Vec::new();
    for seen in &evidence.versions {
        let known = highest.entry((seen.instance, seen.process)).or_default();
        if seen.version < *known {
            let (from, to) = (*known, seen.version);
            found.push(format!(
                "{} went from version {from} to {to}",
                seen.instance
            ));
        }
        *known = seen.version.max(*known);
    }
    found
}

/// Repeats over the whole run, against as many windows as it can touch.
fn too_many_repeats(evidence: &Evidence, bound: RepeatBound) -> Option<String> {
    let repeats: u32 = evidence.arrivals.values().map(|count| count - 1).sum();
    let windows = (evidence.length.div_duration_f64(bound.window)).floor() + 1.0;
    let requests = f64::from(u32::try_from(evidence.calls.len()).unwrap_or(u32::MAX));
    let allowed = bound.ratio * requests + bound.slack * windows;
    (f64::from(repeats) > allowed)
        .then(|| format!("{repeats} repeats of {requests} requests, {allowed} allowed"))
}

#[cfg(test)]
mod tests;
