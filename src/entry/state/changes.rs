//! Applies changes of the store to the state.

use super::State;
use crate::account::AccountTable;
use crate::entry::fleet::replica::{Applied, Delta, Summary};
use crate::entry::model::Record;
use crate::entry::request::routes::RouteTable;
use crate::entry::target::targets::LAPSED_RETENTION;
use crate::units::Time;

/// Fraction of the propagation limit in which a removed target gets requests if its service
/// has no other. It serves for the whole limit; the rest, half a second or more, is for the last
/// of them to run before it ends.
const SERVING_FRACTION: f64 = 0.75;

impl State {
    /// Applies changes of the store; returns whether anything changed.
    pub(crate) fn apply(&mut self, now: Time, mut delta: Delta, source: &str) -> bool {
        let restored = self.replica.is_restored_by(&delta);
        if restored {
            tracing::warn!(
                known = ?self.replica.position(),
                era = delta.era,
                revision = delta.revision,
                source,
                "store was restored from a copy"
            );
            self.remove_outdated(now, &mut delta);
            // Revisions of the earlier era can't be compared with those of this one.
            self.rejected
                .retain(|_, record| record.revision <= delta.revision);
        }
        let is_first = self.replica.revision() == 0;
        let applied = self.replica.apply(delta);
        if !applied.is_empty() {
            self.changed_at = now;
        }
        let after_outage = now < self.recovering_until;
        let emptied_services = self.targets.emptied_services(&applied);
        for change in &applied {
            let lapsed = match change {
                Applied::Removed(_, Record::Target(_)) => restored || after_outage,
                Applied::Removed(
                    _,
                    Record::Evacuation(_) | Record::RolloutOrder(_) | Record::RolloutDecision(_),
                ) => restored,
                _ => false,
            };
            let retained_until = match change {
                Applied::Removed(_, Record::Target(_)) if lapsed => Some(self.lapsed_until(now)),
                Applied::Removed(_, Record::Target(target))
                    if emptied_services.contains(&target.service) =>
                {
                    self.serving_until()
                }
                _ => None,
            };
            let retained_ms = retained_until.map(|until| until.since(now).as_millis());
            log_change(change, self.replica.revision(), source, lapsed, retained_ms);
            self.apply_change(now, change, lapsed, retained_until);
        }
        if restored {
            self.reread_decisions();
        }
        if !self.rollouts.is_empty() {
            self.update_rollouts(now, is_first);
        }
        self.update_status();
        !applied.is_empty()
    }

    /// Takes over what the status of a peer shows of the store; see
    /// [`Replica::take_summary`](crate::entry::fleet::replica::Replica::take_summary).
    pub(crate) fn take_summary(&mut self, peer: Summary) {
        self.replica.take_summary(peer);
        self.update_status();
    }

    /// Updates what this instance tells its peers of its replica.
    fn update_status(&mut self) {
        let Summary { position, checksum } = self.replica.summary();
        (self.status.era, self.status.revision) = (position.era, position.revision);
        self.status.checksum = checksum;
    }

    /// Until when a target whose lease expired is retained. After an outage the time counts
    /// from the store's return: a target that is removed later has left.
    fn lapsed_until(&self, now: Time) -> Time {
        if now < self.recovering_until {
            self.recovering_until
        } else {
            now.after(LAPSED_RETENTION)
        }
    }

    /// Until when a removed target certainly serves what is sent to it: one that leaves goes
    /// on for the propagation limit after its removal, which was after the last answer.
    fn serving_until(&self) -> Option<Time> {
        let limit = self.settings.propagation_limit;
        let last_answer = self.freshness.last_answer()?;
        Some(last_answer.after(limit.mul_f64(SERVING_FRACTION)))
    }

    /// Turns the records of a copy that are older than what is known here into removals, so
    /// that they count only once they are written again.
    fn remove_outdated(&self, now: Time, delta: &mut Delta) {
        for change in &mut delta.changes {
            if let Some(Record::Target(target)) = &change.record
                && self.targets.is_outdated(now, target)
            {
                tracing::info!(key = &*change.key, "record of the copy is outdated");
                change.record = None;
                change.revision = delta.revision;
            }
        }
    }

    fn apply_change(
        &mut self,
        now: Time,
        change: &Applied,
        lapsed: bool,
        retained_until: Option<Time>,
    ) {
        if let Applied::Put(key, _) | Applied::Removed(key, _) = change {
            self.rejected.swap_remove(key);
        }
        match change {
            Applied::Configuration(configuration) => {
                self.routes = RouteTable::new(configuration);
                let accounts = configuration.accounts.as_deref();
                self.accounts = accounts.map(AccountTable::new);
                self.account_usage.retain(accounts.unwrap_or_default());
                self.caps.set_accounts(accounts.unwrap_or_default());
                self.status.version = configuration.version;
                self.status.ready |= !self.status.leaving;
            }
            Applied::Put(key, record) => match record {
                Record::Target(target) => self.targets.put(now, target.clone()),
                Record::Evacuation(zone) => self.targets.set_evacuated(zone.clone(), true),
                Record::Instance(instance) => {
                    self.registered.insert(key.clone(), instance.address);
                    self.members.add(now, instance.address, &instance.zone);
                }
                Record::RolloutOrder(_) | Record::RolloutDecision(_) => {
                    self.put_rollout_record(record);
                }
                Record::Configuration(_) => {}
            },
            Applied::Removed(key, record) => match record {
                Record::Target(target) => {
                    self.targets.remove(now, &target.id, retained_until);
                }
                Record::Evacuation(zone) if lapsed => {
                    self.targets.retain_evacuation(now, zone.clone());
                }
                Record::Evacuation(zone) => self.targets.set_evacuated(zone.clone(), false),
                Record::Instance(_) => {
                    self.registered.swap_remove(key);
                }
                Record::RolloutOrder(_) | Record::RolloutDecision(_) => {
                    self.remove_rollout_record(now, record, lapsed);
                }
                Record::Configuration(_) => {}
            },
        }
    }
}

fn log_change(
    change: &Applied,
    revision: u64,
    source: &str,
    lapsed: bool,
    retained_ms: Option<u128>,
) {
    match change {
        Applied::Configuration(configuration) => tracing::info!(
            version = configuration.version,
            routes = configuration.routes.len(),
            accounts = configuration.accounts.as_ref().map(Vec::len),
            unknown_kinds = ?configuration.unknown_kinds,
            revision,
            source,
            "configuration in force"
        ),
        Applied::Put(key, record) => {
            tracing::info!(
                key = &**key,
                state = describe(record),
                revision,
                source,
                "record"
            );
        }
        Applied::Removed(key, _) => {
            tracing::info!(
                key = &**key,
                revision,
                source,
                lapsed,
                retained_ms,
                "record removed"
            );
        }
    }
}

fn describe(record: &Record) -> &'static str {
    match record {
        Record::Configuration(_) => "configuration",
        Record::Target(target) if target.leaving => "leaving",
        Record::Target(target) if !target.cold_for.is_zero() => "cold",
        Record::Target(_) => "ready",
        Record::Evacuation(_) => "evacuated",
        Record::Instance(_) => "registered",
        Record::RolloutOrder(_) => "ordered",
        Record::RolloutDecision(_) => "decided",
    }
}

#[cfg(test)]
mod tests;
