use super::*;
use crate::dispatch::quarantine::{CrashId, MAX_CRASHES};

/// A checksum of the largest size.
const CHECKSUM: Checksum = Checksum {
    hash: u32::MAX,
    knows_removals: true,
};

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

/// Targets and peers may send any numbers.
#[test]
fn absurd_loads_are_compared_without_overflow() {
    let absurd = with_load(|load| {
        *load = Load {
            running: u32::MAX,
            waiting: u32::MAX,
            slots: 0,
            slowness_percent: u32::MAX,
        };
    });
    assert!(absurd.is_significant_change(&report()));
    assert!(report().is_significant_change(&absurd));
}

#[test]
fn the_largest_heartbeat_fits_a_datagram() {
    let heartbeat = Heartbeat {
        zone: "a-zone-with-a-long-name".into(),
        status: InstanceStatus {
            callers: Some(([255, 255, 255, 255], 65535).into()),
            ready: true,
            leaving: true,
            cut_off: true,
            store: crate::entry::fleet::watchers::StoreAccess::Lost,
            era: u64::MAX,
            revision: u64::MAX,
            checksum: Some(CHECKSUM),
            store_answer_age_ms: Some(u16::MAX),
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
        evidence: vec![
            Evidence {
                fingerprint: crate::dispatch::quarantine::Fingerprint(u64::MAX),
                crashes: vec![CrashId::of_run(1); MAX_CRASHES],
                cleared: vec![CrashId::of_run(1); MAX_CRASHES],
            };
            MAX_CASES
        ],
        limits: vec![
            NamedLimit {
                target: u64::MAX,
                per_second: Some(2.4),
                age_ms: u16::MAX,
            };
            MAX_LIMITS
        ],
        leaving: vec![u64::MAX; MAX_LEAVING],
    };
    let bytes = encode_heartbeat(heartbeat.clone(), &[]).unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM, "{}", bytes.len());
    let decoded = decode_datagram(&bytes).unwrap();
    assert_eq!(
        decoded,
        (Datagram::Heartbeat(Box::new(heartbeat)), Vec::new())
    );
}

#[test]
fn the_largest_news_of_suspected_requests_fit_a_datagram() {
    let evidence = Evidence {
        fingerprint: crate::dispatch::quarantine::Fingerprint(u64::MAX),
        crashes: vec![CrashId::of_run(1); MAX_CRASHES],
        cleared: vec![CrashId::of_run(1); MAX_CRASHES],
    };
    let datagram = Datagram::Evidence(vec![evidence; MAX_EVIDENCE]);
    let bytes = encode(&datagram).unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM, "{}", bytes.len());
    assert_eq!(decode_datagram(&bytes).unwrap(), (datagram, Vec::new()));
}

fn heartbeat(era: u64) -> Heartbeat {
    Heartbeat {
        zone: "a".into(),
        status: InstanceStatus {
            era,
            revision: 5,
            ..InstanceStatus::default()
        },
        reports: vec![report()],
        member: None,
        cases: Vec::new(),
        evidence: Vec::new(),
        limits: Vec::new(),
        leaving: Vec::new(),
    }
}

fn relayed(era: u64) -> RelayedStatus {
    RelayedStatus {
        address: ([10, 0, 0, 1], 7000).into(),
        zone: "b".into(),
        status: heartbeat(era).status,
        age_ms: 7,
    }
}

/// Length of the extension for answers of the store if there are none, with as many relayed
/// statuses.
fn store_length(relayed: usize) -> usize {
    let store = StoreExtension {
        answer_age_ms: None,
        relayed_answer_ages_ms: vec![None; relayed],
    };
    postcard::to_stdvec(&store).unwrap().len()
}

/// The same of the extension for checksums and what follows it.
fn checksum_length(relayed: usize) -> usize {
    let checksums = ChecksumExtension {
        checksum: None,
        relayed_checksums: vec![None; relayed],
    };
    postcard::to_stdvec(&checksums).unwrap().len() + store_length(relayed)
}

#[test]
fn checksums_are_told_also_beside_releases_that_do_not() {
    let with_checksum = |checksum, era| InstanceStatus {
        checksum,
        ..heartbeat(era).status
    };
    let sent = Heartbeat {
        status: with_checksum(Some(CHECKSUM), 4),
        ..heartbeat(4)
    };
    let statuses = [Some(CHECKSUM), None].map(|checksum| RelayedStatus {
        status: with_checksum(checksum, 2),
        ..relayed(2)
    });
    let bytes = encode_heartbeat(sent.clone(), &statuses).unwrap();
    let decoded = decode_datagram(&bytes).unwrap();
    assert_eq!(
        decoded,
        (Datagram::Heartbeat(Box::new(sent)), Vec::from(statuses))
    );
    // A release without them sends and decodes a heartbeat up to this extension.
    let checksums = postcard::to_stdvec(&ChecksumExtension {
        checksum: Some(CHECKSUM),
        relayed_checksums: vec![Some(CHECKSUM), None],
    });
    let later = checksums.unwrap().len() + store_length(2);
    let earlier = &bytes[..bytes.len() - later];
    let (Datagram::Heartbeat(decoded), relayed) = decode_datagram(earlier).unwrap() else {
        panic!("not a heartbeat");
    };
    assert_eq!(decoded.status.checksum, None);
    assert_eq!(relayed[0].status.checksum, None);
}

#[test]
fn ages_of_answers_are_told_also_beside_releases_that_do_not() {
    let with_age = |store_answer_age_ms| InstanceStatus {
        store_answer_age_ms,
        ..heartbeat(4).status
    };
    let sent = Heartbeat {
        status: with_age(Some(800)),
        ..heartbeat(4)
    };
    let statuses = [Some(u16::MAX), None].map(|age| RelayedStatus {
        status: with_age(age),
        ..relayed(2)
    });
    let bytes = encode_heartbeat(sent.clone(), &statuses).unwrap();
    let decoded = decode_datagram(&bytes).unwrap();
    assert_eq!(
        decoded,
        (
            Datagram::Heartbeat(Box::new(sent)),
            Vec::from(statuses.clone())
        )
    );
    // A release without them sends and decodes a heartbeat up to this extension.
    let ages = postcard::to_stdvec(&StoreExtension {
        answer_age_ms: Some(800),
        relayed_answer_ages_ms: vec![Some(u16::MAX), None],
    });
    let earlier = &bytes[..bytes.len() - ages.unwrap().len()];
    let (Datagram::Heartbeat(decoded), relayed) = decode_datagram(earlier).unwrap() else {
        panic!("not a heartbeat");
    };
    assert_eq!(decoded.status.store_answer_age_ms, None);
    assert_eq!(relayed[0].status.store_answer_age_ms, None);
}

#[test]
fn eras_are_decoded_with_their_statuses() {
    let sent = [relayed(2), relayed(3)];
    let bytes = encode_heartbeat(heartbeat(4), &sent).unwrap();
    let decoded = decode_datagram(&bytes).unwrap();
    assert_eq!(
        decoded,
        (Datagram::Heartbeat(Box::new(heartbeat(4))), Vec::from(sent))
    );
    let position = Position {
        era: 4,
        revision: 9,
    };
    let bytes = encode_request(position).unwrap();
    assert_eq!(decode_request(&bytes).unwrap(), position);
    let delta = Delta {
        era: 4,
        revision: 9,
        complete: true,
        changes: Vec::new(),
    };
    let bytes = encode_response(delta.clone()).unwrap();
    assert_eq!(decode_response(&bytes).unwrap(), Some(delta));
}

#[test]
fn messages_of_and_to_releases_without_eras_are_decoded() {
    let datagram = Datagram::Heartbeat(Box::new(heartbeat(0)));
    let mut earlier = encode(&datagram).unwrap();
    assert_eq!(
        decode_datagram(&earlier).unwrap(),
        (datagram.clone(), vec![])
    );
    earlier.extend(encode(&[relayed(0)].as_slice()).unwrap());
    assert_eq!(decode_datagram(&earlier).unwrap().1, [relayed(0)]);
    let request = encode(&PeerRequest::Changes(9)).unwrap();
    assert_eq!(decode_request(&request).unwrap().revision, 9);
    // As earlier releases decode them.
    let bytes = encode_heartbeat(heartbeat(4), &[relayed(2)]).unwrap();
    let (decoded, rest) = postcard::take_from_bytes::<Datagram>(&bytes).unwrap();
    assert_eq!(decoded, datagram);
    let statuses: Vec<RelayedStatus> = postcard::from_bytes(rest).unwrap();
    assert_eq!(statuses, [relayed(0)]);
    let bytes = encode_request(Position {
        era: 4,
        revision: 9,
    });
    let request: PeerRequest = postcard::from_bytes(&bytes.unwrap()).unwrap();
    assert_eq!(request, PeerRequest::Changes(9));
}

#[test]
fn statuses_say_who_is_cut_off_also_beside_releases_that_do_not() {
    let cut_off = |cut_off| InstanceStatus {
        cut_off,
        ..heartbeat(4).status
    };
    let sent = Heartbeat {
        status: cut_off(true),
        ..heartbeat(4)
    };
    let statuses = [true, false].map(|is_cut_off| RelayedStatus {
        status: cut_off(is_cut_off),
        ..relayed(2)
    });
    let bytes = encode_heartbeat(sent.clone(), &statuses).unwrap();
    let decoded = decode_datagram(&bytes).unwrap();
    assert_eq!(
        decoded,
        (Datagram::Heartbeat(Box::new(sent)), Vec::from(statuses))
    );
    // A release with eras sends and decodes a heartbeat up to its extension.
    let reach = postcard::to_stdvec(&ReachExtension {
        cut_off: true,
        relayed_cut_off: vec![true, false],
    });
    let leaving = postcard::to_stdvec(&LeavingExtension::default());
    let later = reach.unwrap().len() + leaving.unwrap().len() + checksum_length(2);
    let earlier = &bytes[..bytes.len() - later];
    let (Datagram::Heartbeat(decoded), _) = decode_datagram(earlier).unwrap() else {
        panic!("not a heartbeat");
    };
    assert_eq!(decoded.status, cut_off(false));
    let (_, rest) = postcard::take_from_bytes::<Datagram>(&bytes).unwrap();
    let (_, rest) = postcard::take_from_bytes::<Vec<RelayedStatus>>(rest).unwrap();
    let extension: HeartbeatExtension = postcard::from_bytes(rest).unwrap();
    assert_eq!(extension.era, 4);
}

#[test]
fn leaving_targets_are_told_also_beside_releases_that_do_not() {
    let sent = Heartbeat {
        status: InstanceStatus {
            cut_off: true,
            ..heartbeat(4).status
        },
        leaving: vec![1, u64::MAX],
        ..heartbeat(4)
    };
    let bytes = encode_heartbeat(sent.clone(), &[relayed(2)]).unwrap();
    let decoded = decode_datagram(&bytes).unwrap();
    assert_eq!(
        decoded,
        (
            Datagram::Heartbeat(Box::new(sent.clone())),
            vec![relayed(2)]
        )
    );
    // A release without them sends and decodes a heartbeat up to this extension.
    let leaving = postcard::to_stdvec(&LeavingExtension {
        leaving: sent.leaving.clone(),
    });
    let later = leaving.unwrap().len() + checksum_length(1);
    let earlier = &bytes[..bytes.len() - later];
    let (Datagram::Heartbeat(decoded), _) = decode_datagram(earlier).unwrap() else {
        panic!("not a heartbeat");
    };
    let known = Heartbeat {
        leaving: Vec::new(),
        ..sent
    };
    assert_eq!(*decoded, known);
    let (_, rest) = postcard::take_from_bytes::<Datagram>(&bytes).unwrap();
    let (_, rest) = postcard::take_from_bytes::<Vec<RelayedStatus>>(rest).unwrap();
    let (_, rest) = postcard::take_from_bytes::<HeartbeatExtension>(rest).unwrap();
    let reach: ReachExtension = postcard::from_bytes(rest).unwrap();
    assert!(reach.cut_off);
}

#[test]
fn tokens_are_asked_for_and_granted_in_small_datagrams() {
    let request = Datagram::TokenRequest(TokenRequest {
        account: u64::MAX,
        number: u32::MAX,
        want: u16::MAX,
    });
    let granted = Datagram::TokenGrant(TokenGrant {
        number: u32::MAX,
        tokens: u16::MAX,
        retry_after_ms: u16::MAX,
    });
    for (datagram, index) in [(request, 6), (granted, 7)] {
        let bytes = encode(&datagram).unwrap();
        assert!(bytes.len() <= 20, "{}", bytes.len());
        assert_eq!(decode_datagram(&bytes).unwrap(), (datagram, vec![]));
        // Earlier releases find no variant of this index.
        assert_eq!(bytes[0], index);
    }
}

fn change(revision: u64, record: Record) -> Change {
    Change {
        key: revision.to_string().into(),
        revision,
        record: Some(record),
    }
}

/// Earlier releases must be able to decode the changes of this one, and the other way round.
#[test]
fn what_earlier_releases_do_not_know_of_changes_follows_them() {
    let target = Target {
        id: "t".into(),
        service: "s".into(),
        address: ([10, 0, 0, 9], 8080).into(),
        zone: "a".into(),
        slots: 6,
        leaving: false,
        cold_for: std::time::Duration::ZERO,
        started_ms: 1,
        version: Some("v2".into()),
    };
    let mut configuration = crate::entry::testing::configuration();
    configuration.routes[0].public = true;
    configuration.accounts = Some(vec![Account {
        name: "account".into(),
        keys: vec![crate::account::KeyDigest::of(b"key")],
        priority: Some(1),
        limit: None,
    }]);
    let decision = crate::rollout::RolloutDecision {
        service: "s".into(),
        version: "v2".into(),
        previous: vec!["v1".into()],
        stage: crate::rollout::Stage::Running(6),
        ordered_ms: 5,
    };
    let sent = Delta {
        era: 4,
        revision: 9,
        complete: true,
        changes: vec![
            change(7, Record::Configuration(Arc::new(configuration.clone()))),
            change(8, Record::Target(target.clone())),
            change(9, Record::RolloutDecision(decision)),
        ],
    };
    let bytes = encode_response(sent.clone()).unwrap();
    assert_eq!(decode_response(&bytes).unwrap(), Some(sent));
    // As earlier releases decode it.
    let earlier: PeerResponse = postcard::from_bytes(&bytes).unwrap();
    let PeerResponse::Changes(decoded) = &earlier else {
        panic!("{earlier:?}");
    };
    configuration.accounts = None;
    configuration.routes[0].public = false;
    let known = [
        change(7, Record::Configuration(Arc::new(configuration))),
        change(
            8,
            Record::Target(Target {
                version: None,
                ..target
            }),
        ),
    ];
    assert_eq!(decoded.changes, known);
    // As earlier releases encode it.
    let bytes = encode_with_era(&earlier, 4).unwrap();
    assert_eq!(decode_response(&bytes).unwrap().unwrap().changes, known);
}
