use arbtest::arbitrary::Unstructured;
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};

use super::{View, ViewRules};
use crate::platform::store::{Change, Entry, RangeResp, WatchBatch};

/// Keys that the generated store holds.
const KEYS: [&str; 3] = ["/a", "/b", "/c"];

fn entry(key: &str, revision: i64) -> Entry {
    Entry {
        key: key.to_owned(),
        value: revision.to_string().into(),
        mod_revision: revision,
        lease: None,
    }
}

/// Random cases among which a violation must be found when a check is off.
const CASES: u64 = 2_000;
/// Reads and watch batches of one case.
const STEPS: usize = 8;
/// Random bytes from which one case is generated.
const CASE_BYTES: usize = 256;

/// Generates the history of a store: each revision writes or deletes one key.
fn history(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<Vec<Change>> {
    let mut changes = Vec::new();
    for revision in 1..=u.int_in_range(1..=12)? {
        let key = *u.choose(&KEYS)?;
        changes.push(if u.ratio(1, 4)? {
            Change::Delete {
                key: key.to_owned(),
                mod_revision: revision,
            }
        } else {
            Change::Put(entry(key, revision))
        });
    }
    Ok(changes)
}

fn read_at(history: &[Change], revision: usize) -> RangeResp {
    let mut view = View::default();
    view.apply_batch(WatchBatch {
        store_revision: i64::try_from(revision).unwrap(),
        changes: history[..revision].to_vec(),
    });
    RangeResp {
        store_revision: i64::try_from(revision).unwrap(),
        entries: view.entries("").cloned().collect(),
    }
}

/// Applies a history in batches, with stale reads, duplicates and reordered changes.
/// Returns whether a key ever went back to a lower revision, or the view differs from
/// the store at the end.
fn violates(u: &mut Unstructured<'_>, rules: ViewRules) -> arbtest::arbitrary::Result<bool> {
    let history = history(u)?;
    let mut view = View::new(rules);
    let mut delivered = 0;
    for step in 1..=STEPS {
        let before: Vec<Entry> = view.entries("").cloned().collect();
        if step < STEPS && u.ratio(1, 3)? {
            let at = u.int_in_range(0..=history.len())?;
            view.apply_read(read_at(&history, at));
            delivered = delivered.max(at);
        } else {
            let first = u.int_in_range(0..=delivered)?;
            let end = match step {
                STEPS => history.len(),
                _ => u.int_in_range(delivered..=history.len())?,
            };
            let mut changes = history[first..end].to_vec();
            if u.arbitrary()? {
                changes.chunks_mut(2).for_each(<[Change]>::reverse);
            }
            delivered = end;
            view.apply_batch(WatchBatch {
                store_revision: i64::try_from(end).unwrap(),
                changes,
            });
        }
        for old in &before {
            let lower = view
                .get(&old.key)
                .is_some_and(|new| new.mod_revision < old.mod_revision);
            if lower {
                return Ok(true);
            }
        }
    }
    let mut expected = read_at(&history, history.len()).entries;
    let mut seen: Vec<Entry> = view.entries("").cloned().collect();
    expected.sort_by(|a, b| a.key.cmp(&b.key));
    seen.sort_by(|a, b| a.key.cmp(&b.key));
    Ok(expected != seen)
}

/// Whether any generated case violates the rules.
fn violation_found(rules: ViewRules) -> bool {
    (0..CASES).any(|seed| {
        let mut buf = [0; CASE_BYTES];
        StdRng::seed_from_u64(seed).fill_bytes(&mut buf);
        violates(&mut Unstructured::new(&buf), rules).unwrap_or(false)
    })
}

#[test]
fn keys_never_go_back_and_the_view_converges() {
    arbtest::arbtest(|u| {
        assert!(!violates(u, ViewRules::default())?);
        Ok(())
    });
}

#[test]
fn without_the_stale_read_check_a_violation_is_found() {
    assert!(violation_found(ViewRules {
        refuse_stale_reads: false,
        ..ViewRules::default()
    }));
}

#[test]
fn without_the_old_change_check_a_violation_is_found() {
    assert!(violation_found(ViewRules {
        refuse_old_changes: false,
        ..ViewRules::default()
    }));
}
