use super::*;

fn entry(zone: &str, port: u16) -> DirectoryEntry {
    DirectoryEntry {
        callers: ([10, 0, 0, 1], port).into(),
        zone: zone.into(),
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
