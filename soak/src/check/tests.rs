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
    observations.arrivals = IndexMap::from([("c".into(), 2)]);
    assert_eq!(count(&observations), 0);
    observations.arrivals = IndexMap::from([("c".into(), 3)]);
    assert_eq!(count(&observations), 1);
}
