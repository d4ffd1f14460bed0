use super::*;

const BUDGET: RetryBudget = RetryBudget {
    ratio: 0.2,
    slack: 1.0,
    window: Duration::from_secs(10),
};
const INSTANCE: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);

fn call(outcome: CallOutcome) -> Call {
    Call {
        id: "c".into(),
        key: CallKey {
            account: "a",
            text: "k".into(),
            first: 0,
            last: u64::MAX,
        },
        at_most_once: true,
        instance: INSTANCE,
        sent: Duration::from_secs(5),
        ended: Duration::from_secs(6),
        outcome,
    }
}

fn responded(status: u16) -> CallOutcome {
    CallOutcome::Responded {
        status,
        matches_request: true,
    }
}

fn observations(call: Call, runs: u32) -> Observations {
    Observations {
        runs: IndexMap::from([(call.id.clone(), runs)]),
        arrivals: IndexMap::from([(call.id.clone(), runs.max(1))]),
        calls: vec![call],
        accounts: IndexMap::from([("c".into(), vec!["a".into(); runs.max(1) as usize])]),
        instances: 1,
        duration: Duration::from_secs(9),
        ..Observations::default()
    }
}

fn count(observations: &Observations) -> usize {
    violations(observations, BUDGET).len()
}

#[test]
fn correct_outcomes_are_no_violations() {
    for (outcome, runs) in [
        (responded(200), 1),
        (responded(503), 0),
        (responded(502), 1),
        (CallOutcome::ConnectionLost, 0),
        (CallOutcome::TimedOut, 1),
        (CallOutcome::NotConnected, 0),
    ] {
        let call = call(outcome);
        assert_eq!(count(&observations(call.clone(), runs)), 0, "{call:?}");
    }
}

#[test]
fn each_wrong_outcome_is_a_violation() {
    let mismatched = CallOutcome::Responded {
        status: 200,
        matches_request: false,
    };
    for (outcome, runs) in [
        (responded(200), 2),
        (responded(503), 1),
        (responded(404), 0),
        (mismatched, 1),
        (CallOutcome::ConnectionLost, 1),
    ] {
        let call = call(outcome);
        assert_eq!(count(&observations(call.clone(), runs)), 1, "{call:?}");
    }
}

#[test]
fn a_lost_connection_is_excused_only_by_a_concurrent_fault_of_its_instance() {
    let mut observations = observations(call(CallOutcome::ConnectionLost), 1);
    let fault = |from, until| Disturbance {
        instance: INSTANCE,
        from: Duration::from_secs(from),
        until: Duration::from_secs(until),
    };
    observations.disturbances = vec![fault(1, 2), fault(9, 10)];
    assert_eq!(count(&observations), 1);
    observations.disturbances = vec![fault(1, 5)];
    assert_eq!(count(&observations), 0);
}

#[test]
fn versions_may_regress_only_with_a_new_process() {
    let mut observations = observations(call(responded(200)), 1);
    let observed = |process, version| ObservedVersion {
        instance: INSTANCE,
        process,
        at: Duration::ZERO,
        version,
    };
    observations.versions = vec![
        observed(0, 7),
        observed(0, 8),
        observed(1, 7),
        observed(1, 8),
    ];
    assert_eq!(count(&observations), 0);
    observations.versions.push(observed(1, 7));
    assert_eq!(count(&observations), 1);
}

#[test]
fn retries_over_budget_are_a_violation() {
    let mut observations = observations(call(responded(200)), 1);
    observations.calls[0].at_most_once = false;
    observations.accounts.clear();
    observations.arrivals = IndexMap::from([("c".into(), 2)]);
    assert_eq!(count(&observations), 0);
    observations.arrivals = IndexMap::from([("c".into(), 3)]);
    assert_eq!(count(&observations), 1);
}

#[test]
fn a_request_arrives_with_the_name_of_its_account_and_without_its_key() {
    let right = observations(call(responded(200)), 1);
    assert_eq!(count(&right), 0);
    for names in [vec!["b"], vec![], vec!["a", "a"], vec!["a", "b"]] {
        let mut observations = right.clone();
        let told = names.iter().map(|name| (*name).to_owned()).collect();
        observations.accounts = IndexMap::from([("c".into(), told)]);
        assert_eq!(count(&observations), 1, "{names:?}");
    }
    let mut observations = right;
    observations.with_authorization = vec!["c".into()];
    assert_eq!(count(&observations), 1);
}

/// The key is in the versions 3 and 4, and the call was sent at 5 s and ended at 6 s.
#[test]
fn keys_are_accepted_and_rejected_by_the_versions_in_force() {
    let violations = |outcome, runs, seen: u64, written: u64| {
        let mut observations = observations(call(outcome), runs);
        observations.calls[0].key.first = 3;
        observations.calls[0].key.last = 4;
        observations.versions = vec![ObservedVersion {
            instance: INSTANCE,
            process: 0,
            at: Duration::from_secs(5),
            version: seen,
        }];
        observations.written = [(2, 3), (6, written), (7, 9)]
            .map(|(at, version)| (Duration::from_secs(at), version))
            .to_vec();
        count(&observations)
    };
    assert_eq!(
        violations(responded(401), 0, 3, 4),
        1,
        "valid in all versions"
    );
    assert_eq!(
        violations(responded(401), 0, 2, 4),
        0,
        "not added everywhere"
    );
    assert_eq!(
        violations(responded(401), 0, 3, 5),
        0,
        "withdrawn meanwhile"
    );
    assert_eq!(
        violations(responded(200), 1, 4, 5),
        0,
        "not withdrawn everywhere"
    );
    assert_eq!(
        violations(responded(200), 1, 5, 5),
        1,
        "withdrawn everywhere"
    );
    assert_eq!(violations(responded(401), 0, 5, 5), 0);
}

#[test]
fn a_version_is_in_force_everywhere_once_each_instance_has_it() {
    let mut observations = observations(call(responded(200)), 1);
    observations.calls[0].key.last = 4;
    observations.instances = 2;
    let observed = |last_octet, version| ObservedVersion {
        instance: IpAddr::from([127, 0, 0, last_octet]),
        process: 0,
        at: Duration::from_secs(1),
        version,
    };
    observations.versions = vec![observed(1, 5)];
    assert_eq!(count(&observations), 0);
    observations.versions.push(observed(2, 4));
    assert_eq!(count(&observations), 0);
    observations.versions.push(observed(2, 5));
    assert_eq!(count(&observations), 1);
}
