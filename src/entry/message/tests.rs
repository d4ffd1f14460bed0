use super::*;

fn report() -> TargetReport {
    TargetReport {
        target: u64::MAX,
        load: Some(Load {
            running: 2,
            waiting: 0,
            slots: 6,
            slowness_percent: 100,
        }),
        cold_ms: 0,
        health: Health::Good,
        age_ms: 12,
    }
}

fn with_load(change: impl Fn(&mut Load)) -> TargetReport {
    let mut report = report();
    report.load.as_mut().map(change);
    report
}

#[test]
fn changes_that_affect_selection_are_significant() {
    let significant = [
        with_load(|load| load.slowness_percent = 140),
        with_load(|load| load.slowness_percent = 70),
        with_load(|load| load.running = 5),
        TargetReport {
            health: Health::Bad,
            ..report()
        },
        TargetReport {
            cold_ms: 900,
            ..report()
        },
    ];
    for changed in significant {
        assert!(changed.is_significant_change(&report()), "{changed:?}");
    }
    let insignificant = [
        report(),
        with_load(|load| load.slowness_percent = 120),
        with_load(|load| load.running = 4),
        TargetReport {
            age_ms: 90,
            ..report()
        },
    ];
    for unchanged in insignificant {
        assert!(!unchanged.is_significant_change(&report()), "{unchanged:?}");
    }
}

#[test]
fn the_largest_heartbeat_fits_a_datagram() {
    let heartbeat = Heartbeat {
        zone: "a-zone-with-a-long-name".into(),
        status: InstanceStatus {
            callers: Some(([255, 255, 255, 255], 65535).into()),
            ready: true,
            leaving: true,
            store: crate::entry::watchers::StoreAccess::Lost,
            revision: u64::MAX,
            version: u64::MAX,
        },
        reports: vec![
            TargetReport {
                cold_ms: u32::MAX,
                age_ms: u16::MAX,
                ..report()
            };
            MAX_REPORTS
        ],
        member: Some((([255, 255, 255, 255], 65535).into(), "another-zone".into())),
        cases: vec![
            Case {
                fingerprint: crate::dispatch::quarantine::Fingerprint(u64::MAX),
                deaths: 3,
                held_ms: u64::MAX,
            };
            MAX_CASES
        ],
    };
    let heartbeat = Datagram::Heartbeat(heartbeat);
    let bytes = encode(&heartbeat).unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM, "{}", bytes.len());
    assert_eq!(decode::<Datagram>(&bytes).unwrap(), heartbeat);
}
