//! Random interleavings of changes, lost responses, stale reads, lagging peers and restarts, over
//! a small model of the store.

use arbtest::arbitrary::{Result, Unstructured};
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};

use super::{ConfigRules, KEPT_REVISIONS, Manifest, WriteOutcome, may_adopt, settle};
use crate::config::document::DocumentHash;
use crate::resource::Revision;

/// Number of random cases in which a violation must be found when a rule is off.
const CASES: u64 = 5_000;
/// Size of the random input of one case.
const CASE_BYTES: usize = 512;
/// Number of steps in one case.
const STEPS: usize = 40;
/// Number of instances in the model, each with one operator.
const INSTANCES: usize = 3;

/// Which rules the model follows.
#[derive(Clone, Copy)]
struct Rules {
    config: ConfigRules,
    /// Whether a write takes effect only when its comparison holds.
    compare: bool,
    /// Whether the first read of a new instance must show the current state.
    confirm: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            config: ConfigRules::default(),
            compare: true,
            confirm: true,
        }
    }
}

/// A write whose response was lost and whose outcome is not yet known.
struct UnsettledWrite {
    base_mod_revision: i64,
    manifest: Manifest,
}

struct Model {
    rules: Rules,
    /// Values of the key, indexed by the store's revision.
    store: Vec<Manifest>,
    in_force: [Manifest; INSTANCES],
    unsettled: [Option<UnsettledWrite>; INSTANCES],
    /// Writes that were reported as accepted.
    accepted: Vec<Manifest>,
    /// Writes that were reported as not accepted.
    refused: Vec<Manifest>,
    operations: u32,
    violation: bool,
}

impl Model {
    fn new(rules: Rules) -> Self {
        Self {
            rules,
            store: vec![Manifest::default()],
            in_force: Default::default(),
            unsettled: Default::default(),
            accepted: Vec::new(),
            refused: Vec::new(),
            operations: 0,
            violation: false,
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let member = u.int_in_range(0..=INSTANCES - 1)?;
        match u.int_in_range(0..=4)? {
            0 => self.change(u, member),
            1 => self.settle(u, member),
            2 => self.read(u, member),
            3 => {
                let peer = u.int_in_range(0..=INSTANCES - 1)?;
                let offered = self.in_force[peer].clone();
                self.adopt(member, &offered);
                Ok(())
            }
            _ => self.restart(u, member),
        }
    }

    /// Returns the store revision that a read shows, which may be stale.
    fn read_index(&self, u: &mut Unstructured<'_>) -> Result<usize> {
        let newest = self.store.len() - 1;
        Ok(newest - u.int_in_range(0..=newest.min(3))?)
    }

    /// Reads, possibly stale data, and writes the next manifest; the response may be lost.
    fn change(&mut self, u: &mut Unstructured<'_>, member: usize) -> Result<()> {
        let read_index = self.read_index(u)?;
        let base = self.store[read_index].clone();
        if self.unsettled[member].is_some() || base.revision < self.in_force[member].revision {
            return Ok(());
        }
        self.operations += 1;
        let operation = self.operations.to_string().into();
        let (manifest, _) = base.next(operation, "one".into(), Vec::new());
        let base_mod_revision = i64::try_from(read_index).unwrap_or(i64::MAX);
        let written = self.write(base_mod_revision, &manifest);
        if u.ratio(1, 3)? {
            self.unsettled[member] = Some(UnsettledWrite {
                base_mod_revision,
                manifest,
            });
        } else {
            self.report_outcome(member, written, manifest);
        }
        Ok(())
    }

    fn write(&mut self, base_mod_revision: i64, manifest: &Manifest) -> bool {
        let newest = i64::try_from(self.store.len() - 1).unwrap_or(i64::MAX);
        let written = !self.rules.compare || base_mod_revision == newest;
        if written {
            self.store.push(manifest.clone());
        }
        written
    }

    fn report_outcome(&mut self, member: usize, written: bool, manifest: Manifest) {
        if written {
            self.adopt(member, &manifest);
            self.accepted.push(manifest);
        } else {
            self.refused.push(manifest);
        }
    }

    /// Sends an unsettled write again and reads the key to determine its outcome.
    fn settle(&mut self, u: &mut Unstructured<'_>, member: usize) -> Result<()> {
        let Some(unsettled) = self.unsettled[member].take() else {
            return Ok(());
        };
        if self.write(unsettled.base_mod_revision, &unsettled.manifest) {
            self.report_outcome(member, true, unsettled.manifest);
            return Ok(());
        }
        let read_index = self.read_index(u)?;
        let read_mod_revision = i64::try_from(read_index).unwrap_or(i64::MAX);
        let (operation, read) = (&unsettled.manifest.operation, &self.store[read_index]);
        match settle(
            operation,
            unsettled.base_mod_revision,
            read,
            read_mod_revision,
            self.rules.config,
        ) {
            WriteOutcome::Accepted => self.report_outcome(member, true, unsettled.manifest),
            WriteOutcome::Superseded => self.report_outcome(member, false, unsettled.manifest),
            WriteOutcome::Unknown => self.unsettled[member] = Some(unsettled),
        }
        Ok(())
    }

    fn read(&mut self, u: &mut Unstructured<'_>, member: usize) -> Result<()> {
        let read_index = self.read_index(u)?;
        let fresh = self.in_force[member].revision == Revision::default();
        if fresh && self.rules.confirm && read_index + 1 != self.store.len() {
            return Ok(());
        }
        let newest_in_force = self.in_force.iter().map(|held| held.revision).max();
        let offered = self.store[read_index].clone();
        if fresh && newest_in_force > Some(offered.revision) {
            self.violation = true;
        }
        self.adopt(member, &offered);
        Ok(())
    }

    fn restart(&mut self, u: &mut Unstructured<'_>, member: usize) -> Result<()> {
        // The outcome of a write that was interrupted is not reported.
        if u.ratio(1, 4)? {
            self.in_force[member] = Manifest::default();
            self.unsettled[member] = None;
        }
        Ok(())
    }

    fn adopt(&mut self, member: usize, offered: &Manifest) {
        let held = self.in_force[member].revision;
        if may_adopt(held, offered.revision, self.rules.config) {
            self.violation |= offered.revision < held;
            self.in_force[member] = offered.clone();
        }
    }

    /// Returns whether an invariant is violated. Stored revisions must increase, accepted changes
    /// must stay stored, refused ones must never be stored, and every configuration in force must
    /// have been stored.
    fn invariant_violated(&self) -> bool {
        let increasing = self
            .store
            .windows(2)
            .all(|pair| pair[0].revision < pair[1].revision);
        let in_store = |manifest: &&Manifest| self.store.contains(manifest);
        let persisted = self.accepted.iter().all(|manifest| in_store(&manifest));
        let refused_stored = self.refused.iter().any(|manifest| in_store(&manifest));
        let from_store = self.in_force.iter().all(|manifest| in_store(&manifest));
        self.violation || !increasing || !persisted || refused_stored || !from_store
    }
}

fn violates(u: &mut Unstructured<'_>, rules: Rules) -> Result<bool> {
    let mut model = Model::new(rules);
    for _ in 0..STEPS {
        model.step(u)?;
        if model.invariant_violated() {
            return Ok(true);
        }
    }
    Ok(false)
}

fn finds_violation(rules: Rules) -> bool {
    (0..CASES).any(|seed| {
        let mut buf = [0; CASE_BYTES];
        StdRng::seed_from_u64(seed).fill_bytes(&mut buf);
        violates(&mut Unstructured::new(&buf), rules).unwrap_or(false)
    })
}

#[test]
fn accepted_changes_persist_and_no_instance_goes_back() {
    arbtest::arbtest(|u| {
        assert!(!violates(u, Rules::default())?);
        Ok(())
    });
    assert!(!finds_violation(Rules::default()));
}

#[test]
fn a_violation_is_found_without_each_rule() {
    let config = ConfigRules::default();
    let off = [
        (
            "monotonic",
            Rules {
                config: ConfigRules {
                    monotonic: false,
                    ..config
                },
                ..Rules::default()
            },
        ),
        (
            "settle_by_read",
            Rules {
                config: ConfigRules {
                    settle_by_read: false,
                    ..config
                },
                ..Rules::default()
            },
        ),
        (
            "compare",
            Rules {
                compare: false,
                ..Rules::default()
            },
        ),
        (
            "confirm",
            Rules {
                confirm: false,
                ..Rules::default()
            },
        ),
    ];
    for (name, rules) in off {
        assert!(finds_violation(rules), "no violation found without {name}");
    }
}

#[test]
fn documents_are_deleted_once_no_listed_revision_refers_to_them() {
    let hash = |number: usize| DocumentHash::from(format!("{number}"));
    let mut manifest = Manifest::default();
    for number in 1..=KEPT_REVISIONS + 2 {
        let operation = number.to_string().as_str().into();
        let (next, unused) = manifest.next(operation, "one".into(), vec![hash(number)]);
        let expected = match number.checked_sub(KEPT_REVISIONS + 1) {
            Some(old) if old > 0 => vec![hash(old)],
            _ => Vec::new(),
        };
        assert_eq!(unused, expected, "revision {number}");
        manifest = next;
    }
    let (_, unused) = manifest.next("last".into(), "one".into(), vec![hash(2)]);
    assert!(
        unused.is_empty(),
        "a document that is used again is not deleted"
    );
}
