//! Property tests: random event sequences, with the invariants checked after
//! every step.

use arbtest::arbitrary::{Result, Unstructured};

use super::*;
use crate::admission::limit::LimitSettings;

/// An invariant that was violated.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Violation {
    /// A target had more calls in flight than its slots.
    AboveLimit,
    /// A permit was granted on a target above its ramp.
    AboveRamp,
    /// A call that is not urgent got a slot of the reserve.
    ReserveUsed,
    /// A refused request had a permit.
    RefusedHasPermit,
    /// A request or permit was lost or counted twice.
    Miscounted,
}

/// A random run of one shard, with the requests and permits that its clients
/// know of.
struct Run {
    shard: Shard,
    now: Time,
    next_id: u64,
    waiting: Vec<u64>,
    held: Vec<u64>,
    violations: Vec<Violation>,
}

impl Run {
    fn record(&mut self, violated: bool, what: Violation) {
        if violated {
            self.violations.push(what);
        }
    }

    fn new(rules: ShardRules) -> Self {
        let settings = ShardSettings {
            slots: 3,
            queue_length: 4,
            warm_up: Duration::from_secs(3),
            rules,
            ..ShardSettings::default()
        };
        Self {
            shard: shard(settings, 2),
            now: Time::ZERO,
            next_id: 1,
            waiting: Vec::new(),
            held: Vec::new(),
            violations: Vec::new(),
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.now = self
            .now
            .after(Duration::from_millis(u.int_in_range(0..=300)?));
        match u.int_in_range(0..=9)? {
            0..=4 => self.request(u)?,
            5..=7 if !self.held.is_empty() => self.release(u)?,
            8 => self.withdraw(),
            _ => {
                let health = Health {
                    state: crate::admission::limit::HealthState::Cold,
                    start: crate::names::StartId::from("run"),
                };
                let target = u.choose(&TARGETS[..2])?;
                self.shard
                    .apply_health(self.now, &TargetId::from(*target), &health);
                let decisions = self.shard.advance(self.now);
                self.apply(&decisions);
            }
        }
        self.check();
        Ok(())
    }

    fn request(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let id = self.next_id;
        self.next_id += 1;
        let rank = u.int_in_range(0..=2)?;
        let request = SlotRequest {
            deadline: self
                .now
                .after(Duration::from_millis(u.int_in_range(0..=900)?)),
            caller: CallerName::from(*u.choose(&["a", "b"])?),
            ..slot_request(id, rank)
        };
        let before = self.shard.slots(self.now);
        let (outcome, decisions) = self.shard.request_slot(self.now, request);
        self.apply(&decisions);
        match outcome {
            SlotOutcome::Granted(_) => {
                let reserve = (before.total * 20).div_ceil(100).min(before.total - 1);
                self.record(
                    rank > 0 && decisions.is_empty() && before.free <= reserve,
                    Violation::ReserveUsed,
                );
                self.held.push(id);
            }
            SlotOutcome::Queued => self.waiting.push(id),
            SlotOutcome::Refused(_) => {
                self.record(
                    self.shard.outstanding().contains_key(&PermitId(id)),
                    Violation::RefusedHasPermit,
                );
            }
        }
        Ok(())
    }

    fn release(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let index = u.choose_index(self.held.len())?;
        let id = self.held.swap_remove(index);
        let result = *u.choose(&[
            CallResult::Completed,
            CallResult::Completed,
            CallResult::Shed,
            CallResult::Failed,
            CallResult::Unsent,
        ])?;
        let decisions = self
            .shard
            .release(self.now, PermitId(id), &call_report(result));
        self.apply(&decisions);
        Ok(())
    }

    fn withdraw(&mut self) {
        if let Some(id) = self.waiting.pop() {
            let withdrawn = self.shard.withdraw(PermitId(id));
            self.record(!withdrawn, Violation::Miscounted);
        }
    }

    fn apply(&mut self, decisions: &[Decision]) {
        for decision in decisions {
            let before = self.waiting.len();
            self.waiting.retain(|id| *id != decision.id.0);
            self.record(self.waiting.len() + 1 != before, Violation::Miscounted);
            let held = self.shard.outstanding().contains_key(&decision.id);
            match decision.outcome {
                SlotOutcome::Granted(_) => self.held.push(decision.id.0),
                _ => self.record(held, Violation::RefusedHasPermit),
            }
        }
    }

    /// Permits in flight and ramp limit of each target.
    fn ramps(&self) -> Vec<(u32, u32)> {
        let limit = LimitSettings {
            ramp: true,
            ..self.shard.settings.limit()
        };
        let targets = self.shard.targets().values();
        targets
            .map(|t| (t.in_flight, t.limit.ramp(&limit)))
            .collect()
    }

    fn check(&mut self) {
        let slots = self.shard.settings.slots;
        let above = self.ramps().iter().any(|(running, _)| *running > slots);
        self.record(above, Violation::AboveLimit);
        let in_flight: u32 = self.shard.targets().values().map(|t| t.in_flight).sum();
        self.record(in_flight as usize != self.held.len(), Violation::Miscounted);
        self.record(
            self.shard.waiting() != self.waiting.len(),
            Violation::Miscounted,
        );
    }
}

fn violations(u: &mut Unstructured<'_>, rules: ShardRules) -> Result<Vec<Violation>> {
    let mut run = Run::new(rules);
    for _ in 0..u.int_in_range(1..=80)? {
        let before = run.ramps();
        run.step(u)?;
        for ((running, ramp), (now_running, now_ramp)) in before.into_iter().zip(run.ramps()) {
            // A permit granted in this step took the target above its ramp, as
            // it was before the step and as it is after it.
            let granted = now_running > running;
            run.record(
                granted && now_running > ramp.max(now_ramp),
                Violation::AboveRamp,
            );
        }
    }
    Ok(run.violations)
}

#[test]
fn invariants_hold_at_every_step() {
    arbtest::arbtest(|u| {
        assert_eq!(violations(u, ShardRules::default())?, Vec::new());
        Ok(())
    });
}

/// Whether some random run under these rules shows the violation.
fn found(rules: ShardRules, what: Violation) -> bool {
    testing::search::finds(|u| Ok(violations(u, rules)?.contains(&what)))
}

#[test]
fn each_violation_is_found_when_its_rule_is_disabled() {
    let all = ShardRules::default();
    let no_limit = ShardRules {
        limit: false,
        ..all
    };
    assert!(found(no_limit, Violation::AboveLimit), "limit");
    let no_ramp = ShardRules { ramp: false, ..all };
    assert!(found(no_ramp, Violation::AboveRamp), "ramp");
    let no_reserve = ShardRules {
        reserve: false,
        ..all
    };
    assert!(found(no_reserve, Violation::ReserveUsed), "reserve");
}
