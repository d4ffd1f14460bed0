//! Decides on one roll-out: when its share rises, and when it is completed or rolled
//! back.

mod reason;

use std::time::Duration;

use crate::rollout::evidence::EvidenceReport;
use crate::rollout::history::{History, Scope, Window};
use crate::rollout::schedule::{MIN_FULL_TIME, Schedule, Step, part_after, sample_percent};
use crate::rollout::verdict::{Rule, find_difference};
use crate::rollout::{RolloutLimits, RolloutOrder, Stage};
use crate::units::Time;

pub use crate::rollout::judge::reason::{Finding, Missing, Reason};

/// Parameters of a [`Judge`].
#[derive(Debug, Clone, PartialEq)]
pub struct JudgeSettings {
    /// Share of the requests that a sample gets at least, and at first.
    pub sample_share: f64,
    /// Responses of the new version a second that are wanted of a sample.
    pub sample_rate: f64,
    /// Responses of the new version that are wanted of a whole sample.
    pub sample_responses: f64,
    /// Good responses after which the share rises at the planned time.
    pub good_responses: u32,
    /// Good responses without which it doesn't rise at all.
    pub min_good_responses: u32,
    /// Difference of the shares of failed responses above which fewer than
    /// `good_responses` don't suffice.
    pub few_difference: f64,
    /// Targets that must have given good responses.
    pub min_targets: usize,
    /// Length of the time that is also compared alone.
    pub recent: Duration,
    /// Difference after which the roll-out is rolled back.
    pub bad: Rule,
    /// Difference during which the share doesn't rise.
    pub suspicious: Rule,
    /// Minimum difference from the old version's responses before, where it gets none
    /// at the same time: of failed responses, and of slow ones, which a burst causes.
    pub unmatched_difference: [f64; 2],
    /// Slots that the new version needs for a share of the requests, as a fraction of
    /// that share of the old version's slots.
    pub room: f64,
    /// Fractions of the limits that a sample uses. The rest allows for requests of
    /// which the responses aren't known yet, and for the next step.
    pub used_limits: [f64; 2],
    /// Time after which the reports of all instances have arrived.
    pub report_time: Duration,
}

impl Default for JudgeSettings {
    fn default() -> Self {
        Self {
            sample_share: 0.06,
            sample_rate: 20.0,
            sample_responses: 150.0,
            good_responses: 30,
            min_good_responses: 10,
            few_difference: 0.2,
            min_targets: 2,
            recent: Duration::from_secs(3),
            bad: Rule {
                chance: 1e-4,
                rest_chance: Some(0.01),
                difference: 0.1,
                slow_difference: 0.1,
                bad: 4,
            },
            suspicious: Rule {
                chance: 1e-2,
                rest_chance: Some(0.05),
                difference: 0.1,
                slow_difference: 0.1,
                bad: 3,
            },
            unmatched_difference: [0.2, 0.5],
            room: 0.6,
            used_limits: [0.7, 0.5],
            report_time: Duration::from_millis(600),
        }
    }
}

/// Time between two calls of [`Judge::decide`] after which the process must have been
/// suspended, and reports are missing.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Time after the order, and after a change of the sample's share, from which the rate of
/// requests is known well enough to raise the share.
const SHARE_TIME: Duration = Duration::from_millis(1200);
/// Minimum time for which the rest of the slack is to last: that of three times as many
/// requests for the two seconds until this is known.
const MIN_SLACK_TIME: Duration = Duration::from_secs(6);
/// Responses without which nothing is known of the rate.
const MIN_RATE_RESPONSES: f64 = 3.0;
/// Ratio from which a change of the sample's share is worth a write.
const SHARE_CHANGE: f64 = 1.25;

/// Factor by which the sample's share rises at most at once, since the rate may be known
/// only in part.
const MAX_SHARE_STEP: f64 = 3.0;

/// What there is of the service's targets at the moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Facts {
    /// Usable targets of the old version.
    pub old_targets: usize,
    /// Slots of these.
    pub old_slots: f64,
    /// Usable targets of the new version that are no longer cold.
    pub new_targets: usize,
    /// Slots of these.
    pub new_slots: f64,
}

/// A change of the stage.
#[derive(Debug, Clone, PartialEq)]
pub struct Decided {
    /// The stage from now on.
    pub stage: Stage,
    /// What it follows from.
    pub reason: Reason,
}

impl Decided {
    fn new(stage: Stage, reason: Reason) -> Self {
        Self { stage, reason }
    }
}

/// That the new version isn't worse, and how certain this is.
enum Confidence {
    /// There are enough responses.
    High(Reason),
    /// There are so few that they only suffice when there is no time left.
    Low(Reason),
}

/// The view of one roll-out on an instance that decides on it, or would if those
/// before it failed.
#[derive(Debug)]
pub struct Judge {
    order: RolloutOrder,
    ordered_at: Time,
    limits: RolloutLimits,
    settings: JudgeSettings,
    schedule: Schedule,
    history: History,
    /// The share in force and since when, as far as this instance has seen.
    share: Option<(u8, Time)>,
    last_decide: Option<Time>,
    /// When the reports that were missing after a start or a pause have arrived.
    complete_at: Option<Time>,
    /// Most usable targets of the new version at any time.
    most_targets: usize,
}

impl Judge {
    /// Starts without evidence. `ordered_at` is when the order was first seen by any
    /// instance, on this instance's clock.
    #[must_use]
    pub fn new(
        order: RolloutOrder,
        ordered_at: Time,
        limits: RolloutLimits,
        settings: JudgeSettings,
    ) -> Self {
        Self {
            schedule: Schedule::new(order.duration),
            history: History::new(ordered_at, settings.recent),
            order,
            ordered_at,
            limits,
            settings,
            share: None,
            last_decide: None,
            complete_at: None,
            most_targets: 0,
        }
    }

    /// Takes in an instance's totals, its own included. Reports may be lost, come
    /// twice or in another order.
    pub fn receive(&mut self, now: Time, report: &EvidenceReport) {
        if report.service == self.order.service && report.version == self.order.version {
            self.history.receive(now, report);
        }
    }

    /// The next stage, if there is to be another one than `stage`, which is in force.
    /// Before the first decision that is `Running(0)`.
    ///
    /// To be called several times a second, also on instances that would decide; only
    /// the one that decides makes the result known.
    pub fn decide(&mut self, now: Time, facts: &Facts, stage: Stage) -> Option<Decided> {
        let Stage::Running(percent) = stage else {
            return None;
        };
        let elapsed = now.since(self.ordered_at);
        let step = Step::of(percent);
        self.most_targets = self.most_targets.max(facts.new_targets);
        if percent == 0 && !self.schedule.is_too_late(elapsed, Step::Sample) {
            self.last_decide = Some(now);
            let first = self.settings.sample_share;
            let first = first.min(self.limits.share * self.settings.used_limits[0]);
            let stage = Stage::Running(sample_percent(first));
            return Some(Decided::new(stage, Reason::Ordered));
        }
        let since = self.observe(now, percent);
        if let Some(finding) = self.find_worse(now, self.settings.bad, step) {
            return Some(Decided::new(Stage::RolledBack, Reason::Worse(finding)));
        }
        if self.complete_at.is_some() {
            return None;
        }
        let confidence = self.confidence(now, facts, step);
        let next = match (&confidence, step) {
            (Ok(confidence), Step::Full) => self.complete(confidence, elapsed, now.since(since)),
            (Ok(confidence), _) => self.raise(confidence, elapsed, now.since(since), percent),
            (Err(_), _) => None,
        };
        if next.is_some() {
            return next;
        }
        if self.schedule.is_too_late(elapsed, step) && !(step == Step::Full && confidence.is_ok()) {
            let missing = confidence.err().unwrap_or(Missing::Time);
            return Some(Decided::new(Stage::RolledBack, Reason::TooLate(missing)));
        }
        (step == Step::Sample)
            .then(|| self.adjust_share(now, percent, now.since(since)))
            .flatten()
    }

    /// Notes the share in force, and closes slices of the history. Returns since when
    /// this share has been in force.
    fn observe(&mut self, now: Time, percent: u8) -> Time {
        let step = Step::of(percent);
        let paused = self
            .last_decide
            .is_none_or(|last| now.since(last) > MAX_PAUSE);
        self.last_decide = Some(now);
        if paused {
            self.complete_at = Some(now.after(self.settings.report_time));
        }
        if self.complete_at.is_some_and(|at| now >= at) {
            self.complete_at = None;
            // What came in at once may be of several shares, which a comparison must
            // not mix. A sample's shares differ little.
            self.history.restart(now, step == Step::Sample);
        }
        match self.share {
            Some((known, since)) if known == percent => {
                self.history.advance(now, step == Step::Full);
                since
            }
            known => {
                if known.is_some() {
                    self.history.close_slice(now);
                }
                self.share = Some((percent, now));
                now
            }
        }
    }

    /// The first difference that the rule counts, over all routes and on each.
    fn find_worse(&self, now: Time, rule: Rule, step: Step) -> Option<Finding> {
        let mut rule = rule;
        if self.settings.min_targets < 2 || self.most_targets < 2 {
            rule.rest_chance = None;
        }
        self.history.scopes().into_iter().find_map(|scope| {
            [Window::Whole, Window::Recent]
                .into_iter()
                .find_map(|window| {
                    let matched = self.history.matched(now, window, scope);
                    let targets = || self.history.targets(window, scope);
                    let difference = find_difference(matched, rule, targets)?;
                    Some(Finding {
                        scope,
                        window,
                        difference,
                    })
                })
                .or_else(|| (step == Step::Full).then(|| self.find_unmatched(now, rule, scope))?)
        })
    }

    /// Compares with the old version's responses before, when it gets no requests.
    fn find_unmatched(&self, now: Time, rule: Rule, scope: Scope) -> Option<Finding> {
        let [difference, slow_difference] = self.settings.unmatched_difference;
        let rule = Rule {
            difference,
            slow_difference,
            ..rule
        };
        let matched = self.history.unmatched(now, scope);
        let targets = || self.history.targets(Window::Recent, scope);
        let difference = find_difference(matched, rule, targets)?;
        Some(Finding {
            scope,
            window: Window::Recent,
            difference,
        })
    }

    /// What speaks for the new version, or what is missing for the step after `step`.
    fn confidence(&self, now: Time, facts: &Facts, step: Step) -> Result<Confidence, Missing> {
        let next_share = match step {
            Step::Sample => 0.25,
            Step::Part | Step::Full => 1.0,
        };
        let needed_slots = facts.old_slots * self.settings.room * next_share;
        if facts.new_targets == 0 {
            return Err(Missing::Targets);
        }
        if facts.new_slots < needed_slots {
            return Err(Missing::Slots {
                usable: facts.new_slots,
                needed: needed_slots,
            });
        }
        if let Some(finding) = self.find_worse(now, self.settings.suspicious, step) {
            return Err(Missing::Certainty(finding));
        }
        let total = self.history.total(Scope::All);
        let targets = self.history.good_targets();
        let min_targets = self.settings.min_targets.min(self.most_targets);
        let few = total.new.good < self.settings.good_responses;
        let too_few = total.new.good < self.settings.min_good_responses || targets < min_targets;
        let failed = total.new.failed_share();
        let worse = few && failed > total.old.failed_share() + self.settings.few_difference;
        // An old version that is as ill is no reason to go on.
        let mostly_failed = failed > 0.5;
        let new = total.new;
        if too_few || worse || mostly_failed {
            return Err(Missing::Responses { new, targets });
        }
        let reason = Reason::NotWorse { new, targets };
        Ok(if few {
            Confidence::Low(reason)
        } else {
            Confidence::High(reason)
        })
    }

    /// The next larger step, if it is time.
    fn raise(
        &self,
        confidence: &Confidence,
        elapsed: Duration,
        in_force: Duration,
        percent: u8,
    ) -> Option<Decided> {
        let (planned, last, next) = match Step::of(percent) {
            Step::Sample => (
                self.schedule.part,
                self.schedule.last_part,
                part_after(percent),
            ),
            _ if in_force < self.schedule.min_part_time => return None,
            _ => (self.schedule.full, self.schedule.last_full, 100),
        };
        let (at, reason) = match confidence {
            Confidence::High(reason) => (planned, reason),
            Confidence::Low(reason) => (last, reason),
        };
        (elapsed >= at).then(|| Decided::new(Stage::Running(next), reason.clone()))
    }

    fn complete(
        &self,
        confidence: &Confidence,
        elapsed: Duration,
        in_force: Duration,
    ) -> Option<Decided> {
        let (Confidence::High(reason) | Confidence::Low(reason)) = confidence;
        let enough = in_force >= self.schedule.full_time || elapsed >= self.schedule.completed;
        (enough && in_force >= MIN_FULL_TIME)
            .then(|| Decided::new(Stage::Completed, reason.clone()))
    }

    /// Adjusts the sample's share to the rate of requests.
    ///
    /// What the sample has sent at any time stays within the limits for the requests
    /// until then, so that it doesn't matter what comes after.
    fn adjust_share(&self, now: Time, percent: u8, in_force: Duration) -> Option<Decided> {
        let elapsed = now.since(self.ordered_at);
        if elapsed < SHARE_TIME || in_force < self.settings.report_time {
            return None;
        }
        let total = self.history.total(Scope::All);
        let known = f64::from(total.new.total()) + f64::from(total.old.total());
        // Responses are known some time after their requests.
        let reported = elapsed.saturating_sub(self.settings.report_time);
        let mean_rate = known / reported.as_secs_f64().max(f64::EPSILON);
        let rate = self.history.peak_rate(now).max(mean_rate).max(f64::EPSILON);
        let unknown = rate * self.settings.report_time.as_secs_f64();
        let sent = f64::from(total.new.total()) + unknown * f64::from(percent) / 100.0;
        let all = known + unknown;
        let left = self.schedule.part.saturating_sub(elapsed);
        let left_seconds = left.max(MIN_SLACK_TIME).as_secs_f64();
        let [share, slack] = self.settings.used_limits;
        let (share, slack) = (share * self.limits.share, slack * self.limits.slack);
        let allowed = share + (slack + share * all - sent) / (rate * left_seconds);
        let whole_sample = self.schedule.part.as_secs_f64();
        let wanted_rate =
            (self.settings.sample_responses / whole_sample).min(self.settings.sample_rate);
        let wanted = (wanted_rate / rate).max(self.settings.sample_share);
        let most = f64::from(percent) / 100.0 * MAX_SHARE_STEP;
        let next = sample_percent(wanted.min(allowed).min(most));
        let (next_share, now_share) = (f64::from(next), f64::from(percent));
        let may_raise =
            in_force >= SHARE_TIME && left > SHARE_TIME * 2 && known >= MIN_RATE_RESPONSES;
        let raise = may_raise && next_share > now_share * SHARE_CHANGE;
        let lower = next_share * SHARE_CHANGE < now_share;
        (raise || lower).then(|| Decided::new(Stage::Running(next), Reason::Rate(rate)))
    }
}

#[cfg(test)]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "small numbers"
)]
mod replay;
#[cfg(test)]
mod tests;
