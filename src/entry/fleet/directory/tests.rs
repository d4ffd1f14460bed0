use super::*;

fn entry(zone: &str, port: u16) -> DirectoryEntry {
    DirectoryEntry {
        callers: ([10, 0, 0, 1], port).into(),
        zone: zone.into(),
        reaches_targets: true,
    }
}

fn cut_off(zone: &str, port: u16) -> DirectoryEntry {
    DirectoryEntry {
        reaches_targets: false,
        ..entry(zone, port)
    }
}

fn ports(entries: &[DirectoryEntry], zone: Option<&str>) -> Vec<u16> {
    addresses(entries, zone)
        .iter()
        .map(SocketAddr::port)
        .collect()
}

#[test]
fn only_instances_of_the_callers_zone_are_listed_if_there_are_two() {
    let entries = [entry("a", 1), entry("b", 2), entry("a", 3)];
    assert_eq!(ports(&entries, Some("a")), [1, 3]);
    assert_eq!(ports(&entries, Some("b")), [1, 2, 3]);
    assert_eq!(ports(&entries, Some("elsewhere")), [1, 2, 3]);
    assert_eq!(ports(&entries, None), [1, 2, 3]);
}

/// A partition may cut most or all instances of a zone off from the targets.
#[test]
fn instances_that_reach_no_target_are_listed_only_if_no_other_does() {
    let entries = [cut_off("a", 1), entry("a", 2), entry("a", 3), entry("b", 4)];
    assert_eq!(ports(&entries, Some("a")), [2, 3]);
    let entries = [
        cut_off("a", 1),
        cut_off("a", 2),
        entry("a", 3),
        entry("b", 4),
    ];
    assert_eq!(ports(&entries, Some("a")), [3, 4]);
    let entries = [cut_off("a", 1), cut_off("a", 2), entry("b", 3)];
    assert_eq!(ports(&entries, Some("a")), [3]);
    let entries = [cut_off("a", 1), cut_off("a", 2), cut_off("b", 3)];
    assert_eq!(ports(&entries, Some("a")), [1, 2]);
}
