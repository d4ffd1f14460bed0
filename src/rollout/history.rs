//! What all instances have seen of a roll-out, divided into slices of time.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::rollout::evidence::{EvidenceReport, OTHERS, Tally};
use crate::rollout::verdict::Matched;
use crate::units::Time;

/// Runs of instances of which totals are kept; more than a fleet has within one
/// roll-out.
const MAX_RUNS: usize = 4096;
/// Minimum length of a slice.
const SLICE: Duration = Duration::from_secs(1);
/// Responses of the old version from which a slice is worth comparing.
const SLICE_RESPONSES: u32 = 20;

/// Responses of both versions.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pair {
    /// Of the old version.
    pub old: Tally,
    /// Of the new version.
    pub new: Tally,
}

/// Some of the service's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// Those on all routes.
    All,
    /// Those on the route of this hash.
    Route(u64),
}

/// A time over which the versions are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Window {
    /// The whole time since the order.
    Whole,
    /// The last seconds.
    Recent,
}

#[derive(Debug, Clone, Default)]
struct Slice {
    start: Time,
    routes: IndexMap<u64, Pair>,
    targets: IndexMap<(u64, u64), Tally>,
}

impl Slice {
    fn pair(&self, scope: Scope) -> Pair {
        match scope {
            Scope::Route(route) => self.routes.get(&route).copied().unwrap_or_default(),
            Scope::All => self.routes.values().fold(Pair::default(), |mut sum, pair| {
                sum.old += pair.old;
                sum.new += pair.new;
                sum
            }),
        }
    }

    fn matched(&self, scope: Scope, end: Time) -> Matched {
        let pair = self.pair(scope);
        let mut matched = Matched::default();
        matched.add(pair.old, pair.new, end.since(self.start));
        matched
    }
}

/// The totals of all instances, and the slices of the last seconds.
#[derive(Debug)]
pub struct History {
    recent_length: Duration,
    runs: IndexMap<u64, (Time, EvidenceReport)>,
    /// Everything, for shares and counts.
    total: Slice,
    /// Everything before the open slice, matched slice by slice.
    all: Matched,
    routes: IndexMap<u64, Matched>,
    recent: VecDeque<(Time, Slice)>,
    open: Slice,
}

impl History {
    /// Starts without responses. `recent_length` is the length of [`Window::Recent`].
    #[must_use]
    pub fn new(start: Time, recent_length: Duration) -> Self {
        Self {
            recent_length,
            runs: IndexMap::new(),
            total: Slice::default(),
            all: Matched::default(),
            routes: IndexMap::new(),
            recent: VecDeque::new(),
            open: Slice {
                start,
                ..Slice::default()
            },
        }
    }

    /// Takes in the totals of a run. Those that aren't later than the last ones of
    /// the same run change nothing.
    pub fn receive(&mut self, now: Time, report: &EvidenceReport) {
        let known = self.runs.get(&report.run);
        if known.is_some_and(|(_, known)| known.total() >= report.total()) {
            return;
        }
        if known.is_none() && self.runs.len() >= MAX_RUNS {
            let oldest = self.runs.values().enumerate();
            let oldest = oldest.min_by_key(|(_, (at, _))| *at);
            if let Some((index, _)) = oldest {
                self.runs.swap_remove_index(index);
            }
        }
        let before = self.runs.insert(report.run, (now, report.clone()));
        let before = before.map(|(_, report)| report);
        for tally in &report.routes {
            let known = before.iter().flat_map(|report| &report.routes);
            let known = known.into_iter().find(|of| of.route == tally.route);
            let old = tally.old - known.map_or_else(Tally::default, |of| of.old);
            let new = tally.new - known.map_or_else(Tally::default, |of| of.new);
            for slice in [&mut self.open, &mut self.total] {
                let pair = slice.routes.entry(tally.route).or_default();
                pair.old += old;
                pair.new += new;
            }
        }
        for tally in &report.targets {
            let key = (tally.route, tally.target);
            let known = before.iter().flat_map(|report| &report.targets);
            let known = known
                .into_iter()
                .find(|of| (of.route, of.target) == key)
                .map_or_else(Tally::default, |of| of.tally);
            for slice in [&mut self.open, &mut self.total] {
                *slice.targets.entry(key).or_default() += tally.tally - known;
            }
        }
    }

    /// Closes the open slice if it is long enough, and drops slices that are not
    /// recent any more. `alone` says that the old version gets no requests.
    pub fn advance(&mut self, now: Time, alone: bool) {
        let long = now.since(self.open.start) >= SLICE;
        let old = self.open.pair(Scope::All).old.total();
        if long && (alone || old >= SLICE_RESPONSES) {
            self.close_slice(now);
        }
        let oldest = now.before(self.recent_length);
        while self.recent.front().is_some_and(|(end, _)| *end < oldest) {
            self.recent.pop_front();
        }
    }

    /// Closes the open slice: the versions' shares of the requests change, or the
    /// responses of a long time have just become known.
    pub fn close_slice(&mut self, now: Time) {
        let next = Slice {
            start: now,
            ..Slice::default()
        };
        let slice = std::mem::replace(&mut self.open, next);
        self.all += slice.matched(Scope::All, now);
        for route in slice.routes.keys() {
            let matched = slice.matched(Scope::Route(*route), now);
            *self.routes.entry(*route).or_default() += matched;
        }
        self.recent.push_back((now, slice));
    }

    /// Forgets that slices are recent, and their comparison if `comparable` is false.
    pub fn restart(&mut self, now: Time, comparable: bool) {
        if !comparable {
            self.open = Slice::default();
        }
        self.close_slice(now);
        self.recent.clear();
    }

    /// All routes with responses, and each one alone if there are several.
    pub fn scopes(&self) -> Vec<Scope> {
        let routes = self.total.routes.keys().copied().map(Scope::Route);
        let routes = routes.filter(|_| self.total.routes.len() > 1);
        std::iter::once(Scope::All).chain(routes).collect()
    }

    /// Responses of both versions since the order.
    #[must_use]
    pub fn total(&self, scope: Scope) -> Pair {
        self.total.pair(scope)
    }

    /// Targets of the new version with good responses.
    #[must_use]
    pub fn good_targets(&self) -> usize {
        let good = self.total.targets.iter().filter(|(_, of)| of.good > 0);
        let targets: IndexSet<u64> = good.map(|((_, target), _)| *target).collect();
        targets.len()
    }

    /// The versions' responses in a window, slice by slice.
    #[must_use]
    pub fn matched(&self, now: Time, window: Window, scope: Scope) -> Matched {
        let mut matched = self.open.matched(scope, now);
        match (window, scope) {
            (Window::Whole, Scope::All) => matched += self.all,
            (Window::Whole, Scope::Route(route)) => {
                matched += self.routes.get(&route).copied().unwrap_or_default();
            }
            (Window::Recent, _) => {
                for (end, slice) in &self.recent {
                    matched += slice.matched(scope, *end);
                }
            }
        }
        matched
    }

    /// The recent responses of the new version against all of the old one, for a time
    /// in which the old one gets no requests.
    #[must_use]
    pub fn unmatched(&self, now: Time, scope: Scope) -> Matched {
        let mut new = Tally::default();
        for slice in self.recent_slices() {
            new += slice.pair(scope).new;
        }
        let mut matched = Matched::default();
        let length = now.since(self.recent_start());
        matched.add(self.total(scope).old, new, length);
        matched
    }

    /// Responses of the new version's targets in a window.
    #[must_use]
    pub fn targets(&self, window: Window, scope: Scope) -> IndexMap<u64, Tally> {
        let slices: Vec<&Slice> = match window {
            Window::Whole => vec![&self.total],
            Window::Recent => self.recent_slices().collect(),
        };
        let mut targets: IndexMap<u64, Tally> = IndexMap::new();
        for ((route, target), tally) in slices.into_iter().flat_map(|slice| &slice.targets) {
            let counts = match scope {
                Scope::All => true,
                Scope::Route(of) => [of, OTHERS].contains(route),
            };
            if counts {
                *targets.entry(*target).or_default() += *tally;
            }
        }
        targets
    }

    /// Responses of both versions a second, in that recent slice that has most.
    #[must_use]
    pub fn peak_rate(&self, now: Time) -> f64 {
        let closed = self.recent.iter().map(|(end, slice)| (*end, slice));
        let rates = closed.chain([(now, &self.open)]).map(|(end, slice)| {
            let pair = slice.pair(Scope::All);
            let responses = pair.old.total().saturating_add(pair.new.total());
            let length = end.since(slice.start).max(SLICE);
            f64::from(responses) / length.as_secs_f64()
        });
        rates.fold(0.0, f64::max)
    }

    fn recent_slices(&self) -> impl Iterator<Item = &Slice> {
        let closed = self.recent.iter().map(|(_, slice)| slice);
        closed.chain([&self.open])
    }

    fn recent_start(&self) -> Time {
        let first = self.recent.front();
        first.map_or(self.open.start, |(_, slice)| slice.start)
    }
}

#[cfg(test)]
mod tests;
