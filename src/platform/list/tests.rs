//! Tests of applying changes to the list.

use arbtest::arbitrary::Unstructured;

use super::{ListedTarget, TargetList, TargetListChange};
use crate::names::TargetId;

fn target(number: u8, zone: u8) -> ListedTarget {
    ListedTarget {
        id: TargetId::from(format!("target-{number}")),
        service: "orders".into(),
        zone: format!("zone-{zone}").into(),
        address: ([127, 0, 0, 1], u16::from(number)).into(),
        leaving: false,
    }
}

/// Returns `id@zone` of every listed target, sorted.
fn sorted_targets(list: &TargetList) -> Vec<String> {
    let mut targets: Vec<_> = list
        .shards()
        .flat_map(|shard| list.targets(shard))
        .map(|target| format!("{}@{}", target.id, target.zone))
        .collect();
    targets.sort();
    targets
}

#[test]
fn applied_changes_give_the_same_list_as_a_whole_list() {
    arbtest::arbtest(|u: &mut Unstructured<'_>| {
        let mut current: Vec<ListedTarget> = Vec::new();
        let mut list = TargetList::default();
        for version in 1..=u.int_in_range(1..=12)? {
            let before = current.clone();
            let number = u.int_in_range(0..=5)?;
            current.retain(|listed| listed.id != target(number, 0).id);
            if u.ratio(2, 3)? {
                current.push(target(number, u.int_in_range(0..=2)?));
            }
            let whole = u.ratio(1, 4)?;
            let is_sent = |listed: &&ListedTarget| whole || !before.contains(listed);
            list.apply(TargetListChange {
                version,
                whole,
                targets: current.iter().filter(is_sent).cloned().collect(),
                gone: before
                    .iter()
                    .filter(|old| current.iter().all(|new| new.id != old.id))
                    .map(|old| old.id.clone())
                    .collect(),
            });
            let mut expected = TargetList::default();
            expected.apply(TargetListChange {
                whole: true,
                targets: current.clone(),
                ..TargetListChange::default()
            });
            assert_eq!(sorted_targets(&list), sorted_targets(&expected));
            assert_eq!(list.shards().count(), expected.shards().count());
        }
        Ok(())
    });
}
