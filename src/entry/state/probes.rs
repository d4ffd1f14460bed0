//! The targets that this instance probes, and what health checks and responses say of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::State;
use super::heartbeats::OwnReport;
use crate::dispatch::quarantine::CrashId;
use crate::entry::fleet::message::{Health, TargetReport};
use crate::entry::fleet::reach::{CHECKED_TARGETS, ReachChange};
use crate::entry::target::placement::index_for_draw;
use crate::entry::target::target_path::TargetPath;
use crate::entry::target::targets::TargetState;
use crate::names::{TargetId, ZoneName};
use crate::platform::prepared::wire::AnswerMeta;
use crate::units::Time;

/// A target to check over a new connection.
#[derive(Debug)]
pub(crate) struct PathCheck {
    /// Id of the target.
    pub id: TargetId,
    /// Key of its run.
    pub run: u64,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Path of its health check.
    pub path: Arc<str>,
    /// Timeout of the check.
    pub timeout: Duration,
    /// Token of its connections.
    pub token: Arc<()>,
}

impl State {
    /// At most `limit` of the targets that this instance could not connect to and that are
    /// due to be checked.
    pub(crate) fn failed_paths_to_check(&mut self, now: Time, limit: usize) -> Vec<PathCheck> {
        let mut due = Vec::new();
        for view in self.targets.views_mut() {
            if due.len() < limit && view.try_check_path(now) {
                due.push(view.key);
            }
        }
        due.into_iter()
            .filter_map(|run| self.path_check(run))
            .collect()
    }

    fn path_check(&mut self, run: u64) -> Option<PathCheck> {
        let view = self.targets.run_mut(run)?;
        let (target, token) = (view.target.clone(), view.connections.clone());
        Some(PathCheck {
            id: target.id,
            run,
            address: target.address,
            path: self.health_path(&target.service)?,
            timeout: self.tuning.probe_timeout,
            token,
        })
    }

    /// Some of the targets that peers report as reachable, if it is to be checked whether
    /// this instance reaches any. `draw` in `0.0..1.0` picks them.
    pub(crate) fn begin_reach_check(&mut self, now: Time, draw: f64) -> Option<Vec<PathCheck>> {
        if !self.reach.try_begin_check(now) {
            return None;
        }
        let is_cut_off = self.reach.is_cut_off();
        // Only its prober may check a target that names a limit.
        let may_check = |view: &&TargetState| {
            view.sending_refusal(now).is_none() && view.limit.per_second(now).is_none()
        };
        let is_vouched_for = |view: &&TargetState| {
            !self.reports.contains_key(&view.key) && view.is_reported_reachable(now)
        };
        let views = || self.targets.views().filter(may_check);
        let mut vouched: Vec<u64> = views()
            .filter(is_vouched_for)
            .map(|view| view.key)
            .collect();
        // Requests may have failed at every target before the first check. A single one may
        // have crashed since it was reported.
        let is_failing = |run: &u64| self.reach.is_failing(*run);
        if !is_cut_off && (vouched.len() < 2 || !vouched.iter().all(is_failing)) {
            vouched.retain(|run| !is_failing(run));
        }
        if vouched.is_empty() && is_cut_off {
            vouched.extend(views().map(|view| view.key));
        }
        let first = index_for_draw(vouched.len(), draw);
        // Neighbours in the table are often in one zone.
        let step = (vouched.len() / CHECKED_TARGETS).max(1);
        let count = CHECKED_TARGETS.min(vouched.len());
        let picked = vouched.iter().cycle().skip(first).step_by(step).take(count);
        let picked: Vec<u64> = picked.copied().collect();
        Some(
            picked
                .into_iter()
                .filter_map(|run| self.path_check(run))
                .collect(),
        )
    }

    /// Records the results of a check of this instance's reach; returns whether it is now
    /// cut off, or no longer, and the peers must learn that.
    pub(crate) fn finish_reach_check(
        &mut self,
        now: Time,
        responded: usize,
        failed: usize,
    ) -> Option<ReachChange> {
        let change = self.reach.finish_check(now, responded, failed)?;
        self.status.cut_off = self.reach.is_cut_off();
        for view in self.targets.views_mut() {
            match change {
                ReachChange::Lost => view.path.record_failure(now),
                ReachChange::Regained => view.path = TargetPath::default(),
            }
        }
        match change {
            ReachChange::Lost => tracing::warn!(
                failed,
                "no path to targets that peers reach; left the directory"
            ),
            ReachChange::Regained => tracing::info!(responded, failed, "targets are reached again"),
        }
        Some(change)
    }

    /// Records that this instance could not connect to a target's run, or got no response.
    pub(crate) fn record_path_failure(&mut self, now: Time, run: u64) {
        self.reach.record_failure(now, run);
        if let Some(view) = self.targets.run_mut(run) {
            view.record_path_failure(now);
        }
    }

    /// Records a response of a target's run over a connection opened at `opened`.
    pub(crate) fn record_open_path(&mut self, now: Time, run: u64, opened: Time) {
        self.reach.record_response(now, opened);
        let Some(view) = self.targets.run_mut(run) else {
            return;
        };
        if view.path.record_response(opened) {
            tracing::info!(target_id = %view.target.id, "path to a target is open again");
        }
    }

    /// Targets that this instance probes, with their address and health check path.
    pub(crate) fn targets_to_probe(&self, now: Time) -> Vec<(TargetId, SocketAddr, Arc<str>)> {
        let Some(configuration) = self.replica.configuration() else {
            return Vec::new();
        };
        let own_zone = &self.settings.zone;
        let probing_zones = self.members.probing_zones(now);
        if self.status.cut_off && !probing_zones.is_empty() {
            return Vec::new();
        }
        // Instances in a target's zone come first, so most targets need no comparison.
        let may_probe = |zone: &ZoneName| zone == own_zone || !probing_zones.contains(zone);
        self.targets
            .views()
            .filter(|view| {
                !view.is_leaving()
                    && may_probe(&view.target.zone)
                    && self
                        .members
                        .is_prober(now, &self.settings.zone, &view.target)
            })
            .filter_map(|view| {
                let rules = configuration.services.get(&view.target.service)?;
                Some((
                    view.target.id.clone(),
                    view.target.address,
                    rules.health_path.clone(),
                ))
            })
            .collect()
    }

    /// Records the result of an own probe that was started at `started`, for this instance
    /// and its peers. A target without a response is unreachable only if another one has
    /// responded meanwhile; the result is held until then.
    pub(crate) fn record_probe(&mut self, now: Time, report: TargetReport, started: Time) {
        if report.health == Health::Unreachable && !self.reach.is_confirmed_since(started) {
            // A response since the first failed probe confirms the later ones too.
            let held = self.unconfirmed.entry(report.target);
            held.or_insert((report, started)).0 = report;
            return;
        }
        self.unconfirmed.swap_remove(&report.target);
        self.record_confirmed_probe(now, report);
    }

    /// Records the failed probes that other targets' responses have confirmed since, and
    /// drops those of a time in which this instance was cut off.
    pub(crate) fn record_confirmed_probes(&mut self, now: Time) {
        if self.reach.is_cut_off() {
            self.unconfirmed.clear();
        }
        let reach = &self.reach;
        let is_confirmed =
            |_: &u64, (_, started): &mut (TargetReport, Time)| reach.is_confirmed_since(*started);
        let confirmed: Vec<_> = self.unconfirmed.extract_if(.., is_confirmed).collect();
        for (_, (report, _)) in confirmed {
            self.record_confirmed_probe(now, report);
        }
    }

    fn record_confirmed_probe(&mut self, now: Time, report: TargetReport) {
        self.targets.apply_report(now, &report);
        self.record_crash_if_unreachable(now, &report);
        let known = self.reports.get(&report.target);
        let sent_in = known.map_or(0, |known| known.sent_in);
        let own = OwnReport {
            report,
            at: now,
            sent_in,
        };
        self.reports.insert(report.target, own);
    }

    /// Whether a health check may be sent to a target's run now; records it if so.
    pub(crate) fn try_check(&mut self, now: Time, run: u64) -> bool {
        let view = self.targets.run_mut(run);
        view.is_some_and(|view| view.try_check(now))
    }

    /// Records what a response of a target's run says about further requests.
    pub(crate) fn record_notice(&mut self, now: Time, run: u64, meta: &AnswerMeta) {
        let Some(view) = self.targets.run_mut(run) else {
            return;
        };
        let target = &view.target.id;
        // Another target may use the address by now.
        if meta
            .target
            .as_ref()
            .is_some_and(|id| *id != target.as_str())
        {
            return;
        }
        if let Some(wanted) = meta.pause
            && view.notice.record_pause(now, wanted)
        {
            tracing::info!(
                target_id = %view.target.id,
                wanted_s = wanted.as_secs_f64(),
                pause_ms = view.notice.pause_left(now).map(millis),
                "target wants a pause"
            );
        }
        if meta.leaving {
            self.record_leaving(now, run, "response");
        }
    }

    /// Records that a run of a target is leaving, by a `response` or a `peer`.
    pub(super) fn record_leaving(&mut self, now: Time, run: u64, source: &str) {
        if let Some(view) = self.targets.record_leaving(now, run) {
            tracing::info!(target_id = %view.target.id, source, "target says that it is leaving");
        }
    }

    /// Records the limit that a response of a target's run named at `at`, or that it named
    /// none.
    pub(crate) fn record_limit(&mut self, now: Time, at: Time, run: u64, per_second: Option<f64>) {
        let Some(view) = self.targets.run_mut(run) else {
            return;
        };
        if view.limit.record_named(at, per_second) {
            tracing::info!(
                target_id = %view.target.id,
                per_second,
                age_ms = u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX),
                sent = view.limit.sent(now),
                "limit of a target changed"
            );
        }
    }

    /// Records the crash of an unreachable target against the requests whose
    /// connections to it broke.
    pub(super) fn record_crash_if_unreachable(&mut self, now: Time, report: &TargetReport) {
        if report.health != Health::Unreachable {
            return;
        }
        let Some(address) = self.targets.address_by_key(report.target) else {
            return;
        };
        let broken_calls = self.quarantine.broken_calls(address);
        let id = CrashId::of_run(report.target);
        let cases = self.quarantine.record_crash(now, address, Some(id));
        if broken_calls > 0 {
            tracing::warn!(
                target_address = %address,
                broken_calls,
                attributed = cases.len(),
                "target crashed while it had requests"
            );
        }
        for case in cases {
            tracing::warn!(
                fingerprint = %case.fingerprint,
                deaths = case.deaths,
                target_address = %address,
                "request was in flight when its target crashed"
            );
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
