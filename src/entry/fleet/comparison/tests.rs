use super::*;
use crate::entry::fleet::replica::{Delta, Position};

/// A copy after one read of the store, at this revision.
fn read_at(revision: u64) -> Replica {
    let mut replica = Replica::default();
    replica.apply(Delta {
        era: 0,
        revision,
        complete: true,
        changes: Vec::new(),
    });
    replica
}

fn summary(revision: u64, hash: u32) -> Summary {
    Summary {
        position: Position { era: 0, revision },
        checksum: Some(Checksum {
            hash,
            knows_removals: true,
        }),
    }
}

#[test]
fn an_instance_that_knows_every_removal_compares_later() {
    let peers = [summary(0, 1)];
    let mut comparisons = Comparisons::default();
    let mut replica = read_at(5);
    assert!(comparisons.are_due(Time::ZERO, &replica, &peers));
    replica.cover_from(summary(0, 1));
    assert!(!comparisons.are_due(Time::ZERO, &replica, &peers));
    assert!(comparisons.are_due(Time::ZERO.after(PATIENCE), &replica, &peers));
}

/// Instances of different releases may never agree.
#[test]
fn a_comparison_is_not_repeated_until_a_copy_changes() {
    let replica = read_at(5);
    let mut comparisons = Comparisons::default();
    comparisons.record(replica.checksum(), summary(0, 1));
    assert!(!comparisons.are_due(Time::ZERO, &replica, &[summary(0, 1)]));
    assert!(comparisons.are_due(Time::ZERO, &replica, &[summary(0, 1), summary(0, 2)]));
}

#[test]
fn copies_with_other_newest_changes_or_unknown_checksums_are_not_compared() {
    let (comparisons, replica) = (Comparisons::default(), read_at(5));
    let unknown = Summary {
        checksum: None,
        ..summary(0, 1)
    };
    assert!(!comparisons.is_new(&replica, summary(4, 1)));
    assert!(!comparisons.is_new(&replica, unknown));
}
