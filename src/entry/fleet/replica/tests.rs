mod orders;

use std::sync::Arc;

use arbtest::arbitrary::{Result, Unstructured};

use super::*;
use crate::entry::model::{CallerLimits, Registration};

fn instance(port: u16) -> Record {
    Record::Instance(Registration {
        address: ([10, 0, 0, 1], port).into(),
        zone: "a".into(),
    })
}

fn configuration(version: u64) -> Record {
    Record::Configuration(Arc::new(Configuration {
        version,
        routes: Vec::new(),
        services: IndexMap::new(),
        bounds: CallerLimits::default(),
        unknown_kinds: Vec::new(),
        accounts: Some(Vec::new()),
    }))
}

fn change(key: &str, revision: u64, record: Option<Record>) -> Change {
    Change {
        key: key.into(),
        revision,
        record,
    }
}

fn delta(revision: u64, complete: bool, changes: Vec<Change>) -> Delta {
    Delta {
        era: 0,
        revision,
        complete,
        changes,
    }
}

fn position(revision: u64) -> Position {
    Position { era: 0, revision }
}

/// A random sequence of puts and removals with rising revisions.
fn history(u: &mut Unstructured<'_>) -> Result<Vec<Change>> {
    let mut changes = Vec::new();
    for revision in 1..=u.int_in_range(1..=24_u64)? {
        let key = format!("k{}", u.int_in_range(0..=3_u8)?);
        let port = u16::try_from(revision).unwrap();
        let record = u.arbitrary::<bool>()?.then(|| instance(port));
        changes.push(change(&key, revision, record));
    }
    Ok(changes)
}

fn contents(replica: &Replica) -> Vec<(Arc<str>, u64)> {
    let mut all: Vec<_> = replica
        .entries
        .iter()
        .map(|(key, entry)| (key.clone(), entry.revision))
        .collect();
    all.sort();
    all
}

#[test]
fn changes_in_any_order_and_repeated_give_the_same_contents() {
    arbtest::arbtest(|u| {
        let changes = history(u)?;
        let mut in_order = Replica::default();
        in_order.apply(delta(99, false, changes.clone()));
        let mut shuffled = Replica::default();
        let mut rest = [changes.clone(), changes].concat();
        while !rest.is_empty() {
            let index = u.choose_index(rest.len())?;
            let one = rest.swap_remove(index);
            shuffled.apply(delta(one.revision, false, vec![one]));
        }
        assert_eq!(contents(&in_order), contents(&shuffled));
        Ok(())
    });
}

#[test]
fn a_delta_brings_a_peer_to_the_same_contents() {
    arbtest::arbtest(|u| {
        let changes = history(u)?;
        let known = u.choose_index(changes.len() + 1)?;
        let mut ahead = Replica::default();
        ahead.apply(delta(changes.len() as u64, false, changes.clone()));
        let mut behind = Replica::default();
        behind.apply(delta(known as u64, false, changes[..known].to_vec()));
        behind.apply(ahead.delta_since(behind.position()));
        assert_eq!(contents(&ahead), contents(&behind));
        assert_eq!(ahead.revision(), behind.revision());
        Ok(())
    });
}

#[test]
fn a_peer_older_than_the_known_removals_gets_everything() {
    let mut replica = Replica::default();
    replica.apply(delta(1, false, vec![change("old", 1, Some(instance(1)))]));
    let mut behind = replica.clone();
    for revision in 2..2 + 2 * MAX_TOMBSTONES as u64 {
        let gone = if revision == 2 { "old" } else { "other" };
        replica.apply(delta(revision, false, vec![change(gone, revision, None)]));
    }
    let all = replica.delta_since(position(1));
    assert!(all.complete);
    behind.apply(all);
    assert!(contents(&behind).is_empty());
}

#[test]
fn a_configuration_is_never_replaced_by_an_older_one() {
    let mut replica = Replica::default();
    let put = |revision, version| {
        delta(
            revision,
            false,
            vec![change("c", revision, Some(configuration(version)))],
        )
    };
    replica.apply(put(5, 7));
    assert_eq!(replica.apply(put(6, 4)), []);
    assert_eq!(replica.configuration().unwrap().version, 7);
    replica.apply(delta(7, false, vec![change("c", 7, None)]));
    assert_eq!(replica.configuration().unwrap().version, 7);
    let mut peer = Replica::default();
    peer.apply(replica.delta_since(position(0)));
    assert_eq!(peer.configuration().unwrap().version, 7);
    replica.apply(put(8, 9));
    assert_eq!(replica.configuration().unwrap().version, 9);
}

#[test]
fn records_missing_from_a_complete_read_are_removed_unless_newer() {
    let mut replica = Replica::default();
    replica.apply(delta(
        4,
        false,
        vec![
            change("gone", 2, Some(instance(2))),
            change("newer", 9, Some(instance(9))),
        ],
    ));
    replica.apply(delta(5, true, Vec::new()));
    assert_eq!(contents(&replica), [("newer".into(), 9)]);
}

#[test]
fn a_revision_without_changes_keeps_the_content_revision() {
    let mut replica = Replica::default();
    replica.apply(delta(3, false, vec![change("k", 3, Some(instance(1)))]));
    replica.apply(delta(8, false, Vec::new()));
    assert_eq!(
        (replica.position(), replica.content_position()),
        (position(8), position(3))
    );
}

#[test]
fn a_complete_read_after_a_restore_replaces_records_with_higher_revisions() {
    let mut replica = Replica::default();
    replica.apply(delta(
        10,
        false,
        vec![
            change("lost", 9, Some(instance(9))),
            change("c", 10, Some(configuration(7))),
        ],
    ));
    let copy = vec![
        change("kept", 2, Some(instance(2))),
        change("c", 3, Some(configuration(6))),
    ];
    replica.apply(Delta {
        era: 1,
        ..delta(6, true, copy)
    });
    assert_eq!(
        replica.position(),
        Position {
            era: 1,
            revision: 6
        }
    );
    assert_eq!(replica.revision_of("lost"), None);
    assert_eq!(replica.configuration().unwrap().version, 7);
    let again = vec![
        change("lost", 7, Some(instance(9))),
        change("c", 8, Some(configuration(8))),
    ];
    replica.apply(Delta {
        era: 1,
        ..delta(8, false, again)
    });
    assert_eq!(replica.revision_of("lost"), Some(7));
    assert_eq!(replica.configuration().unwrap().version, 8);
}

#[test]
fn records_of_an_earlier_era_are_ignored_but_for_a_newer_configuration() {
    let mut replica = Replica::default();
    replica.apply(Delta {
        era: 2,
        ..delta(5, true, vec![change("c", 4, Some(configuration(6)))])
    });
    let earlier = vec![
        change("stale", 30, Some(instance(1))),
        change("c", 31, Some(configuration(7))),
    ];
    replica.apply(Delta {
        era: 1,
        ..delta(40, true, earlier)
    });
    assert_eq!(replica.revision_of("stale"), None);
    assert_eq!(replica.configuration().unwrap().version, 7);
    let mut peer = Replica::default();
    peer.apply(replica.delta_since(Position::default()));
    assert_eq!(peer.configuration().unwrap().version, 7);
}

/// A store that is restored from copies; instances read it, watch it and ask each other.
#[test]
fn instances_agree_with_a_restored_store_once_they_have_read_it() {
    arbtest::arbtest(|u| {
        let mut store = Replica::default();
        let mut instances = [Replica::default(), Replica::default()];
        let (mut copy, mut revision, mut version) = (store.clone(), 0, 0);
        for _ in 0..u.int_in_range(1..=40_u8)? {
            let index = u.choose_index(2)?;
            match u.int_in_range(0..=6_u8)? {
                0 => copy = store.clone(),
                1 => {
                    let era = store.era + 1;
                    store = Replica {
                        era,
                        ..copy.clone()
                    };
                    revision = store.revision;
                }
                2 => {
                    let (read, other) = (u.choose_index(2)?, index);
                    let delta = instances[other].delta_since(instances[read].position());
                    instances[read].apply(delta);
                }
                3 => {
                    let complete = store.delta_since(Position::default());
                    instances[index].apply(complete);
                }
                _ => {
                    revision += 1;
                    let key = format!("k{}", u.int_in_range(0..=3_u8)?);
                    let mut one = change(&key, revision, None);
                    match u.int_in_range(0..=2_u8)? {
                        0 => {
                            version += 1;
                            one = change("c", revision, Some(configuration(version)));
                        }
                        1 => one.record = Some(instance(u.int_in_range(1..=9_u16)?)),
                        _ => {}
                    }
                    let era = store.era;
                    store.apply(Delta {
                        era,
                        ..delta(revision, false, vec![one])
                    });
                }
            }
        }
        let in_force = instances.clone().map(|instance| {
            let configuration = instance.configuration().cloned();
            configuration.map_or(0, |configuration| configuration.version)
        });
        for (instance, in_force) in instances.iter_mut().zip(in_force) {
            instance.apply(store.delta_since(Position::default()));
            let mut known = contents(instance);
            let mut expected = contents(&store);
            known.retain(|(key, _)| &**key != "c");
            expected.retain(|(key, _)| &**key != "c");
            assert_eq!(known, expected);
            let configuration = instance.configuration().cloned();
            let version = configuration.map_or(0, |configuration| configuration.version);
            assert!(version >= in_force, "{version} after {in_force}");
        }
        Ok(())
    });
}

#[test]
fn a_peer_that_read_an_older_configuration_from_a_copy_gets_the_newer_one() {
    let copy = || Delta {
        era: 1,
        ..delta(6, true, vec![change("c", 6, Some(configuration(6)))])
    };
    let mut ahead = Replica::default();
    ahead.apply(delta(
        10,
        false,
        vec![change("c", 9, Some(configuration(8)))],
    ));
    ahead.apply(copy());
    let mut started = Replica::default();
    started.apply(copy());
    started.apply(ahead.delta_since(Position::default()));
    assert_eq!(started.configuration().unwrap().version, 8);
}

/// A peer that asks it would use the removed record until it reads everything anew.
#[test]
fn an_instance_that_has_just_read_the_store_passes_on_earlier_removals() {
    let mut peer = Replica::default();
    let records = vec![
        change("left", 5, Some(instance(5))),
        change("stays", 6, Some(instance(6))),
    ];
    peer.apply(delta(6, false, records));
    let mut started = Replica::default();
    let read = vec![change("stays", 6, Some(instance(6)))];
    started.apply(delta(8, true, read));
    started.apply(delta(9, false, vec![change("new", 9, Some(instance(9)))]));
    peer.apply(started.delta_since(peer.position()));
    assert_eq!(contents(&peer), contents(&started));
}

/// The peer has a record that came and went between two reads of the other instance.
#[test]
fn a_record_that_a_complete_read_skipped_is_removed_from_peers() {
    let first = vec![change("stays", 1, Some(instance(1)))];
    let mut reread = Replica::default();
    reread.apply(delta(1, true, first.clone()));
    let mut peer = reread.clone();
    peer.apply(delta(3, false, vec![change("brief", 3, Some(instance(3)))]));
    reread.apply(delta(8, true, first));
    assert!(!reread.delta_since(position(1)).complete);
    peer.apply(reread.delta_since(peer.position()));
    assert_eq!(contents(&peer), contents(&reread));
}

/// Its peers ask only an instance whose newest change is beyond their own.
#[test]
fn a_removal_known_from_a_complete_read_alone_is_announced_to_peers() {
    let mut replica = Replica::default();
    let records = vec![
        change("left", 2, Some(instance(2))),
        change("stays", 3, Some(instance(3))),
    ];
    replica.apply(delta(3, false, records));
    let read = vec![change("stays", 3, Some(instance(3)))];
    replica.apply(delta(5, true, read));
    assert_eq!(replica.content_position(), position(5));
}
