//! Quarantine of requests that crash targets.
//!
//! A request that was running on a target when it crashed becomes a suspect.
//! Suspects run one at a time per target, so that the next crash identifies the
//! request that caused it; after enough crashes a request is blocked for some time.
//!
//! Instances tell each other which crashes they attribute to a request. Crashes have ids,
//! so that those seen by several instances add up and none counts twice.

mod record;

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

pub use self::record::{Audience, Case, CrashId, Evidence, MAX_CRASHES, PassOn};
use self::record::{PendingNews, Record};
use crate::units::Time;

/// Time for which cleared crashes are recorded. Peers that still report them learn of the
/// response in less.
const CLEARED_RETENTION: Duration = Duration::from_secs(60);

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
    /// Maximum number of suspected or blocked requests; the oldest records of those with the
    /// fewest crashes are dropped.
    pub max_records: usize,
    /// Whether suspects run apart from each other, see
    /// [`Quarantine::try_start_suspect`], and a crash with exactly one suspect present is
    /// attributed to it alone. Otherwise a crash is attributed to all requests present.
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
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
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

/// Requests that one instance suspects or blocks.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    settings: QuarantineSettings,
    records: IndexMap<Fingerprint, Record>,
    broken_calls: IndexMap<SocketAddr, Vec<BrokenCall>>,
    running_suspects: IndexMap<SocketAddr, Fingerprint>,
    reports_sent: u64,
    records_dropped: u64,
    start_ids: IndexMap<SocketAddr, String>,
}

/// A call that broke off on a target.
#[derive(Debug, Clone)]
struct BrokenCall {
    fingerprints: Vec<Fingerprint>,
    at: Time,
}

/// Number of records of a [`Quarantine`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct QuarantineSize {
    /// Records of requests that are or were suspected or blocked.
    pub records: usize,
    /// Those of which the peers may not know all.
    pub unsent: usize,
    /// Records dropped so far because there were too many.
    pub dropped: u64,
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

    /// How much is recorded, and how much of it the peers may not know.
    #[must_use]
    pub fn size(&self) -> QuarantineSize {
        QuarantineSize {
            records: self.records.len(),
            unsent: self
                .records
                .values()
                .filter(|record| record.news != PendingNews::default())
                .count(),
            dropped: self.records_dropped,
        }
    }

    /// The current status of a request.
    #[must_use]
    pub fn status(&self, now: Time, fingerprint: Fingerprint) -> QuarantineStatus {
        match self.records.get(&fingerprint) {
            Some(record) if now < record.blocked_until => QuarantineStatus::Blocked,
            Some(record) if now < record.suspect_until && record.deaths() > 0 => {
                QuarantineStatus::Suspect
            }
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
        if self.status(now, fingerprint) != QuarantineStatus::Suspect {
            return;
        }
        let mut record = self.record_of(now, fingerprint);
        record.reported = 0;
        for crash in std::mem::take(&mut record.crashes) {
            record.clear(crash);
        }
        record.suspect_until = now.after(CLEARED_RETENTION);
        self.store(fingerprint, record);
    }

    /// Records that a call with these fingerprints broke off on a target, which may be due to
    /// a crash; returns whether it is the only one there for now.
    pub fn record_broken_call(
        &mut self,
        now: Time,
        target: SocketAddr,
        fingerprints: impl IntoIterator<Item = Fingerprint>,
    ) -> bool {
        let crash_window = self.settings.crash_window;
        self.broken_calls.retain(|_, calls| {
            calls.retain(|call| now.since(call.at) <= crash_window);
            !calls.is_empty()
        });
        let calls = self.broken_calls.entry(target).or_default();
        if calls.len() < self.settings.max_records {
            calls.push(BrokenCall {
                fingerprints: fingerprints.into_iter().collect(),
                at: now,
            });
        }
        calls.len() == 1
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
        record.map_or(0, Record::deaths)
    }

    /// Attributes a target's crash to the calls that broke off on it.
    ///
    /// `id` identifies the crash for all instances; without it, the crashes of a target are
    /// numbered for each request. Returns the records of the requests that it was
    /// attributed to.
    pub fn record_crash(
        &mut self,
        now: Time,
        target: SocketAddr,
        id: Option<CrashId>,
    ) -> Vec<Case> {
        let crash_window = self.settings.crash_window;
        let mut present: Vec<_> = self
            .broken_calls
            .swap_remove(&target)
            .unwrap_or_default()
            .into_iter()
            .filter(|call| now.since(call.at) <= crash_window)
            .flat_map(|call| call.fingerprints)
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
            let mut record = self.record_of(now, *fingerprint);
            let id = id.unwrap_or_else(|| next_crash(&record, target));
            if record.add_crash(id) || record.crashes.len() >= MAX_CRASHES {
                self.update_block(now, &mut record);
            }
            self.store(*fingerprint, record);
        }
        self.cases(now)
            .filter(|case| attributed.contains(&case.fingerprint))
            .collect()
    }

    /// Merges what another instance attributes to a request, and passes what is new in it on;
    /// returns whether any crash is new.
    pub fn merge_evidence(&mut self, now: Time, evidence: &Evidence, pass_on: PassOn) -> bool {
        let is_known = self.records.contains_key(&evidence.fingerprint);
        if evidence.crashes.is_empty() && !is_known {
            return false;
        }
        let mut record = self.record_of(now, evidence.fingerprint);
        let own_news = record.news;
        let mut is_cleared = false;
        for crash in &evidence.cleared {
            is_cleared |= record.clear(*crash);
        }
        let mut is_new = false;
        for crash in &evidence.crashes {
            is_new |= record.add_crash(*crash);
        }
        if is_new && now >= record.blocked_until {
            self.update_block(now, &mut record);
        } else if is_cleared && record.crashes.is_empty() {
            record.suspect_until = now.after(CLEARED_RETENTION);
        }
        record.news = own_news;
        if (is_new || is_cleared) && pass_on == PassOn::OwnZone {
            record.news.pass_on();
        }
        self.store(evidence.fingerprint, record);
        is_new
    }

    /// Merges the end of a block by another instance, of which the later one wins. The
    /// higher count wins too unless ids of crashes are known, which earlier releases
    /// don't report.
    pub fn merge(&mut self, now: Time, case: &Case) {
        let mut record = self.record_of(now, case.fingerprint);
        let has_ids = !record.crashes.is_empty() || !record.cleared.is_empty();
        if has_ids && case.held_ms == 0 {
            return;
        }
        if !has_ids {
            record.reported = record.reported.max(case.deaths);
        }
        let blocked_until = now.after(Duration::from_millis(case.held_ms));
        if case.held_ms > 0 {
            record.blocked_until = record.blocked_until.max(blocked_until);
        }
        record.suspect_until = now.after(self.settings.suspect_duration);
        self.store(case.fingerprint, record);
    }

    /// All requests that are suspected or blocked.
    pub fn cases(&self, now: Time) -> impl Iterator<Item = Case> + '_ {
        let records = self.records.iter();
        let suspected = records.filter(|(_, record)| record.deaths() > 0);
        suspected.map(move |(fingerprint, record)| record.case(now, *fingerprint))
    }

    /// What is known of a request, for peers; `None` if nothing is.
    #[must_use]
    pub fn evidence(&self, fingerprint: Fingerprint) -> Option<Evidence> {
        let record = self.records.get(&fingerprint)?;
        Some(record.evidence(fingerprint))
    }

    /// The records that the next report to peers contains, at most `limit`: in turn, but half
    /// of them of requests that are blocked, for peers that have just started. `reaches_all`
    /// says whether all peers get the report.
    pub fn next_report(
        &mut self,
        now: Time,
        limit: usize,
        reaches_all: bool,
    ) -> (Vec<Case>, Vec<Evidence>) {
        let mut order: Vec<(bool, u64, Fingerprint)> = self
            .records
            .iter()
            .map(|(fingerprint, record)| {
                let is_blocked = now < record.blocked_until;
                (!is_blocked, record.reported_in, *fingerprint)
            })
            .collect();
        order.sort_unstable();
        let mut chosen: Vec<_> = order.drain(..order.len().min(limit / 2)).collect();
        order.sort_unstable_by_key(|(_, reported_in, fingerprint)| (*reported_in, *fingerprint));
        order.truncate(limit - chosen.len());
        chosen.append(&mut order);
        if reaches_all {
            self.reports_sent += 1;
        }
        let (mut cases, mut evidence) = (Vec::new(), Vec::new());
        for (.., fingerprint) in chosen {
            let Some(record) = self.records.get_mut(&fingerprint) else {
                continue;
            };
            if reaches_all {
                record.reported_in = self.reports_sent;
            }
            if record.deaths() > 0 {
                cases.push(record.case(now, fingerprint));
            }
            evidence.push(record.evidence(fingerprint));
        }
        (cases, evidence)
    }

    /// The records to send to an audience as news, at most `limit`: first those with the
    /// most crashes, since a request that crashes targets is suspected at each of them, and
    /// those beside it mostly once.
    pub fn next_news(&mut self, audience: Audience, limit: usize) -> Vec<Evidence> {
        let mut news: Vec<(Fingerprint, &mut Record)> = self
            .records
            .iter_mut()
            .filter(|(_, record)| record.news.left(audience) > 0)
            .map(|(fingerprint, record)| (*fingerprint, record))
            .collect();
        news.sort_by_key(|(fingerprint, record)| {
            let order = (record.deaths(), record.news.left(audience));
            (Reverse(order), *fingerprint)
        });
        let sent = news.into_iter().take(limit);
        sent.map(|(fingerprint, record)| {
            record.news.record_sent(audience);
            record.evidence(fingerprint)
        })
        .collect()
    }

    /// Drops records of requests that are no longer suspected or blocked.
    pub fn remove_expired(&mut self, now: Time) {
        self.records
            .retain(|_, record| now < record.suspect_until.max(record.blocked_until));
    }

    /// Keeps a request suspected, and blocks it after enough crashes.
    fn update_block(&self, now: Time, record: &mut Record) {
        record.suspect_until = now.after(self.settings.suspect_duration);
        if record.deaths() >= self.settings.crashes_to_block {
            record.blocked_until = now.after(self.settings.block_duration);
        }
    }

    fn record_of(&self, now: Time, fingerprint: Fingerprint) -> Record {
        let known = self.records.get(&fingerprint).cloned();
        known
            .filter(|record| now < record.suspect_until.max(record.blocked_until))
            .unwrap_or_default()
    }

    fn store(&mut self, fingerprint: Fingerprint, record: Record) {
        self.records.insert(fingerprint, record);
        while self.records.len() > self.settings.max_records {
            let least = self
                .records
                .values()
                .enumerate()
                .min_by_key(|(index, record)| (record.deaths(), record.blocked_until, *index));
            let Some((index, _)) = least else {
                return;
            };
            self.records.shift_remove_index(index);
            self.records_dropped += 1;
        }
    }
}

/// Id of the next crash of a target that is attributed to a request.
fn next_crash(record: &Record, target: SocketAddr) -> CrashId {
    let is_known = |id: &CrashId| record.crashes.contains(id) || record.cleared.contains(id);
    let ids = (0..=2 * MAX_CRASHES).map(|number| CrashId::hash(&(target, number)));
    let unknown = ids.clone().find(|id| !is_known(id));
    unknown.unwrap_or_else(|| CrashId::hash(&target))
}

#[cfg(test)]
mod tests;
