#![expect(clippy::cast_precision_loss, reason = "small counts")]

use std::time::Duration;

use super::*;
use crate::entry::model::{CallerLimits, RetrySafety};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        retry_safety: RetrySafety::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        priority: 1,
        max_attempts: 2,
        parts: vec![weighted("s", 1.0)],
        public: false,
    }
}

fn weighted(service: &str, weight: f64) -> WeightedService {
    WeightedService {
        service: service.into(),
        weight,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(&Configuration {
        version: 1,
        routes,
        services: IndexMap::new(),
        bounds: CallerLimits::default(),
        unknown_kinds: Vec::new(),
        accounts: Some(Vec::new()),
    })
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/"),
    ]);
    let find = |host, path| table.find(host, path).map(|route| &*route.name);
    assert_eq!(find("a.example", "/x/y/1"), Some("long"));
    assert_eq!(find("a.example", "/x/z"), Some("short"));
    assert_eq!(find("A.Example:8080", "/x/"), Some("short"));
    assert_eq!(
        find("a.example.:8080", "/x/"),
        Some("short"),
        "fully qualified"
    );
    assert_eq!(find("a.example", "/xy"), None);
    assert_eq!(find("c.example", "/"), None);
    assert_eq!(find("b.example", "/x/y/"), Some("other"));
}

#[test]
fn services_get_their_weights_from_any_phase() {
    arbtest::arbtest(|u| {
        let phase = f64::from(u.int_in_range(0..=999_u32)?) / 1000.0;
        let weight = f64::from(u.int_in_range(1..=99_u32)?);
        let parts = [weighted("a", weight), weighted("b", 100.0 - weight)];
        let mut splitter = WeightedSplitter::new(phase);
        let count = 200;
        let first = (0..count)
            .filter(|_| splitter.next(&parts).unwrap().service.as_str() == "a")
            .count();
        let share = first as f64 / f64::from(count);
        assert!(
            (share - weight / 100.0).abs() < 0.02,
            "{share} for {weight}"
        );
        Ok(())
    });
}
