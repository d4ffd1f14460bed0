//! What an instance has seen of a new version and of the old one beside it.

use indexmap::IndexMap;

use crate::macros::data;
use crate::names::{ServiceName, VersionName};

/// Routes that a report holds. With them and [`MAX_TARGET_TALLIES`], it fits into one
/// datagram.
pub const MAX_ROUTES: usize = 12;
/// Pairs of a route and a target of the new version that a report holds.
pub const MAX_TARGET_TALLIES: usize = 40;
/// Stands for all routes, or targets, beyond those that a report holds.
pub const OTHERS: u64 = 0;

/// Which version ran an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// A version that the service's targets had before the order.
    Old,
    /// The version that the order names.
    New,
}

/// What one attempt says of its target's version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Response {
    /// It succeeded, and as fast as usual.
    Good,
    /// It succeeded, and took much longer than the route's service time.
    Slow,
    /// It failed.
    Failed,
}

data! {
    /// Numbers of responses.
    #[derive(Copy, Eq, Default)]
    pub struct Tally {
        /// Good ones.
        pub good: u32,
        /// Slow ones.
        pub slow: u32,
        /// Failed ones.
        pub failed: u32,
    }

    /// Responses of both versions on one route.
    #[derive(Copy, Eq)]
    pub struct RouteTally {
        /// Hash of the route's name, or [`OTHERS`].
        pub route: u64,
        /// Responses of the old version.
        pub old: Tally,
        /// Responses of the new version.
        pub new: Tally,
    }

    /// Responses of one target of the new version on one route.
    #[derive(Copy, Eq)]
    pub struct TargetTally {
        /// Hash of the route's name, or [`OTHERS`].
        pub route: u64,
        /// Hash of the target's name, which it keeps when it restarts, or [`OTHERS`].
        pub target: u64,
        /// Its responses.
        pub tally: Tally,
    }

    /// All that one run of an instance has seen since the order.
    pub struct EvidenceReport {
        /// The service.
        pub service: ServiceName,
        /// The version that the order names.
        pub version: VersionName,
        /// Random number of these totals. An instance that restarts, or gets a new
        /// order, counts from zero under another number.
        pub run: u64,
        /// Responses by route.
        pub routes: Vec<RouteTally>,
        /// Responses of the new version by route and target.
        pub targets: Vec<TargetTally>,
    }
}

impl Tally {
    /// Adds a response.
    pub fn record(&mut self, response: Response) {
        let count = match response {
            Response::Good => &mut self.good,
            Response::Slow => &mut self.slow,
            Response::Failed => &mut self.failed,
        };
        *count = count.saturating_add(1);
    }

    /// Number of all responses.
    #[must_use]
    pub fn total(self) -> u32 {
        self.good
            .saturating_add(self.slow)
            .saturating_add(self.failed)
    }

    /// Share of failed responses.
    #[must_use]
    pub fn failed_share(self) -> f64 {
        f64::from(self.failed) / f64::from(self.total().max(1))
    }
}

impl EvidenceReport {
    /// Number of all responses. It only rises within a run, so that the later of two
    /// reports has more.
    #[must_use]
    pub fn total(&self) -> u64 {
        let totals = self.routes.iter().map(|route| [route.old, route.new]);
        totals.flatten().map(|tally| u64::from(tally.total())).sum()
    }
}

/// One instance's totals since the order.
#[derive(Debug)]
pub struct OwnEvidence {
    service: ServiceName,
    version: VersionName,
    run: u64,
    routes: IndexMap<u64, RouteTally>,
    targets: IndexMap<(u64, u64), Tally>,
    changed: bool,
}

impl OwnEvidence {
    /// Starts with nothing. `run` is a random number, see [`EvidenceReport::run`].
    #[must_use]
    pub fn new(service: ServiceName, version: VersionName, run: u64) -> Self {
        Self {
            service,
            version,
            run,
            routes: IndexMap::new(),
            targets: IndexMap::new(),
            changed: false,
        }
    }

    /// Records what an attempt says of the version of its `target`, both given as
    /// hashes. Only targets of the new version are told apart.
    pub fn record(&mut self, side: Side, route: u64, target: u64, response: Response) {
        self.changed = true;
        let known = has_room(&self.routes, &route, MAX_ROUTES);
        let route = if known { route } else { OTHERS };
        let tally = self.routes.entry(route).or_insert(RouteTally {
            route,
            old: Tally::default(),
            new: Tally::default(),
        });
        match side {
            Side::Old => tally.old.record(response),
            Side::New => {
                tally.new.record(response);
                let key = (route, target);
                let known = has_room(&self.targets, &key, MAX_TARGET_TALLIES);
                let key = if known { key } else { (OTHERS, OTHERS) };
                self.targets.entry(key).or_default().record(response);
            }
        }
    }

    /// Whether anything was recorded since the last report.
    #[must_use]
    pub fn changed(&self) -> bool {
        self.changed
    }

    /// The totals, to be sent to the instances that decide.
    pub fn report(&mut self) -> EvidenceReport {
        self.changed = false;
        EvidenceReport {
            service: self.service.clone(),
            version: self.version.clone(),
            run: self.run,
            routes: self.routes.values().copied().collect(),
            targets: self
                .targets
                .iter()
                .map(|(&(route, target), &tally)| TargetTally {
                    route,
                    target,
                    tally,
                })
                .collect(),
        }
    }
}

fn has_room<K: std::hash::Hash + Eq, V>(map: &IndexMap<K, V>, key: &K, max: usize) -> bool {
    map.contains_key(key) || map.len() + 1 < max
}

#[cfg(test)]
mod tests;
