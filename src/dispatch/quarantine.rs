//! Quarantine of requests that crash targets.
//!
//! A request that was running on a target when it crashed becomes a suspect.
//! Suspects run one at a time per target, so that the next crash identifies the
//! request that caused it; after enough crashes a request is blocked for some time.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::units::Time;

/// Settings of the quarantine.
#[derive(Debug, Clone, PartialEq)]
pub struct QuarantineSettings {
    /// Number of target crashes after which a request is blocked.
    pub crashes_to_block: u32,
    /// How long a request is blocked.
    pub block_duration: Duration,
    /// How long a request remains a suspect after a crash.
    pub suspect_duration: Duration,
    /// Calls that broke off within this time before a crash are attributed to it.
    pub crash_window: Duration,
    /// Maximum number of suspected or blocked requests; the oldest records are dropped.
    pub max_records: usize,
    /// Whether suspects run apart from each other, and a crash with exactly one
    /// suspect present is attributed to it alone; disabled only in tests.
    pub isolate_suspects: bool,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            crashes_to_block: 2,
            block_duration: Duration::from_secs(600),
            suspect_duration: Duration::from_secs(24 * 3600),
            crash_window: Duration::from_secs(1),
            max_records: 1024,
            isolate_suspects: true,
        }
    }
}

/// Hash of what makes two calls the same request: service, method, path and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Whether and where a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// It may run on any target.
    Clear,
    /// It may run on targets that run no other suspect.
    Suspect,
    /// It may not run until its block expires.
    Blocked,
}

/// A request that was running on a target when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Case {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Number of crashes attributed to it.
    pub deaths: u32,
    /// Remaining time for which it is blocked, in milliseconds; zero for a suspect.
    pub held_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Record {
    deaths: u32,
    blocked_until: Time,
    suspect_until: Time,
}

/// Requests that one instance suspects or blocks.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    settings: QuarantineSettings,
    records: IndexMap<Fingerprint, Record>,
    broken_calls: IndexMap<SocketAddr, Vec<(Fingerprint, Time)>>,
    running_suspects: IndexMap<SocketAddr, Fingerprint>,
    start_ids: IndexMap<SocketAddr, String>,
}

impl Quarantine {
    /// Creates an empty quarantine.
    #[must_use]
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Whether no request is suspected or blocked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The current status of a request.
    #[must_use]
    pub fn status(&self, now: Time, fingerprint: Fingerprint) -> QuarantineStatus {
        match self.records.get(&fingerprint) {
            Some(record) if now < record.blocked_until => QuarantineStatus::Blocked,
            Some(record) if now < record.suspect_until => QuarantineStatus::Suspect,
            _ => QuarantineStatus::Clear,
        }
    }

    /// Targets on which a suspect is running.
    pub fn targets_with_suspects(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.running_suspects.keys().copied()
    }

    /// Marks a suspect as running on a target; returns false if another one runs there.
    pub fn try_start_suspect(&mut self, target: SocketAddr, fingerprint: Fingerprint) -> bool {
        if self.settings.isolate_suspects && self.running_suspects.contains_key(&target) {
            return false;
        }
        self.running_suspects.insert(target, fingerprint);
        true
    }

    /// Marks the suspect on a target as finished.
    pub fn finish_suspect(&mut self, target: SocketAddr) {
        self.running_suspects.swap_remove(&target);
    }

    /// Clears a suspect to which a target has responded; a blocked request stays blocked.
    pub fn record_response(&mut self, now: Time, fingerprint: Fingerprint) {
        if self.status(now, fingerprint) == QuarantineStatus::Suspect {
            self.records.swap_remove(&fingerprint);
        }
    }

    /// Records that a call broke off on a target, which may be due to a crash.
    pub fn record_broken_call(&mut self, now: Time, target: SocketAddr, fingerprint: Fingerprint) {
        let crash_window = self.settings.crash_window;
        self.broken_calls.retain(|_, calls| {
            calls.retain(|(_, at)| now.since(*at) <= crash_window);
            !calls.is_empty()
        });
        let calls = self.broken_calls.entry(target).or_default();
        if calls.len() < self.settings.max_records {
            calls.push((fingerprint, now));
        }
    }

    /// Records a target's start id and returns whether it differs from the last one.
    ///
    /// Returns false for a target whose start id was not known.
    pub fn detect_restart(&mut self, target: SocketAddr, start: &str) -> bool {
        let before = self.start_ids.insert(target, start.to_owned());
        while self.start_ids.len() > self.settings.max_records {
            self.start_ids.shift_remove_index(0);
        }
        before.is_some_and(|before| before != start)
    }

    /// Number of calls that broke off on a target and were not attributed to a crash yet.
    #[must_use]
    pub fn broken_calls(&self, target: SocketAddr) -> usize {
        self.broken_calls.get(&target).map_or(0, Vec::len)
    }

    /// Number of crashes attributed to a request.
    #[must_use]
    pub fn crashes(&self, fingerprint: Fingerprint) -> u32 {
        let record = self.records.get(&fingerprint);
        record.map_or(0, |record| record.deaths)
    }

    /// Attributes a target's crash to the calls that broke off on it.
    ///
    /// Returns the records of the requests that it was attributed to.
    pub fn record_crash(&mut self, now: Time, target: SocketAddr) -> Vec<Case> {
        let mut present: Vec<_> = self
            .broken_calls
            .swap_remove(&target)
            .unwrap_or_default()
            .into_iter()
            .map(|(fingerprint, _)| fingerprint)
            .collect();
        present.sort_unstable();
        present.dedup();
        let suspects: Vec<_> = present
            .iter()
            .copied()
            .filter(|fingerprint| self.status(now, *fingerprint) != QuarantineStatus::Clear)
            .collect();
        let attributed = match suspects.len() {
            0 => present,
            _ if !self.settings.isolate_suspects => present,
            1 => suspects,
            // Several suspects: the crash cannot be attributed to one of them.
            _ => Vec::new(),
        };
        for fingerprint in &attributed {
            self.add_crash(now, *fingerprint);
        }
        self.cases(now)
            .filter(|case| attributed.contains(&case.fingerprint))
            .collect()
    }

    /// Merges a record of another instance; the higher count and the later end of a block win.
    pub fn merge(&mut self, now: Time, case: &Case) {
        let mut record = self.record_of(now, case.fingerprint);
        record.deaths = record.deaths.max(case.deaths);
        let blocked_until = now.after(Duration::from_millis(case.held_ms));
        if case.held_ms > 0 {
            record.blocked_until = record.blocked_until.max(blocked_until);
        }
        record.suspect_until = now.after(self.settings.suspect_duration);
        self.store(case.fingerprint, record);
    }

    /// All requests that are suspected or blocked.
    pub fn cases(&self, now: Time) -> impl Iterator<Item = Case> + '_ {
        self.records.iter().map(move |(fingerprint, record)| Case {
            fingerprint: *fingerprint,
            deaths: record.deaths,
            held_ms: u64::try_from(record.blocked_until.since(now).as_millis()).unwrap_or(u64::MAX),
        })
    }

    /// Drops records of requests that are no longer suspected or blocked.
    pub fn remove_expired(&mut self, now: Time) {
        self.records
            .retain(|_, record| now < record.suspect_until.max(record.blocked_until));
    }

    fn add_crash(&mut self, now: Time, fingerprint: Fingerprint) {
        let mut record = self.record_of(now, fingerprint);
        record.deaths += 1;
        record.suspect_until = now.after(self.settings.suspect_duration);
        if record.deaths >= self.settings.crashes_to_block {
            record.blocked_until = now.after(self.settings.block_duration);
        }
        self.store(fingerprint, record);
    }

    fn record_of(&self, now: Time, fingerprint: Fingerprint) -> Record {
        let known = self.records.get(&fingerprint).copied();
        known
            .filter(|record| now < record.suspect_until.max(record.blocked_until))
            .unwrap_or(Record {
                deaths: 0,
                blocked_until: Time::ZERO,
                suspect_until: Time::ZERO,
            })
    }

    fn store(&mut self, fingerprint: Fingerprint, record: Record) {
        self.records.insert(fingerprint, record);
        while self.records.len() > self.settings.max_records {
            self.records.shift_remove_index(0);
        }
    }
}

#[cfg(test)]
mod tests;
