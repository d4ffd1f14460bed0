use super::*;

const BOUND: RepeatBound = RepeatBound {
    ratio: 0.2,
    slack: 1.0,
    window: Duration::from_secs(10),
};
const INSTANCE: IpAddr = IpAddr::V4(std::net::Ipv4Addr::LOCALHOST);

fn call(how: Ended) -> Call {
    Call {
        id: "c".into(),
        once: true,
        instance: INSTANCE,
        sent: Duration::from_secs(5),
        ended: Duration::from_secs(6),
        how,
    }
}

fn answered(status: u16) -> Ended {
    Ended::Answered { status, own: true }
}

fn evidence(call: Call, runs: u32) -> Evidence {
    Evidence {
        runs: IndexMap::from([(call.id.clone(), runs)]),
        arrivals: IndexMap::from([(call.id.clone(), runs.max(1))]),
        calls: vec![call],
        length: Duration::from_secs(9),
        ..Evidence::default()
    }
}

fn count(evidence: &Evidence) -> usize {
    findings(evidence, BOUND).len()
}

#[test]
fn answers_that_are_true_are_no_findings() {
    for (how, runs) in [
        (answered(200), 1),
        (answered(503), 0),
        (answered(502), 1),
        (Ended::Cut, 0),
        (Ended::TimedOut, 1),
        (Ended::NotConnected, 0),
    ] {
        let call = call(how);
        assert_eq!(count(&evidence(call.clone(), runs)), 0, "{call:?}");
    }
}

#[test]
fn each_broken_promise_is_found() {
    let mixed = Ended::Answered {
        status: 200,
        own: false,
    };
    for (how, runs) in [
        (answered(200), 2),
        (answered(503), 1),
        (answered(404), 0),
        (mixed, 1),
        (Ended::Cut, 1),
    ] {
        let call = call(how);
        assert_eq!(count(&evidence(call.clone(), runs)), 1, "{call:?}");
    }
}

#[test]
fn a_cut_is_excused_only_by_a_fault_of_its_instance_at_the_time() {
    let mut evidence = evidence(call(Ended::Cut), 1);
    let fault = |from, until| Disturbed {
        instance: INSTANCE,
        from: Duration::from_secs(from),
        until: Duration::from_secs(until),
    };
    evidence.disturbed = vec![fault(1, 2), fault(9, 10)];
    assert_eq!(count(&evidence), 1);
    evidence.disturbed = vec![fault(1, 5)];
    assert_eq!(count(&evidence), 0);
}

#[test]
fn versions_go_back_only_with_the_process() {
    let mut evidence = evidence(call(answered(200)), 1);
    let seen = |process, version| Seen {
        instance: INSTANCE,
        process,
        version,
    };
    evidence.versions = vec![seen(0, 7), seen(0, 8), seen(1, 7), seen(1, 8)];
    assert_eq!(count(&evidence), 0);
    evidence.versions.push(seen(1, 7));
    assert_eq!(count(&evidence), 1);
}

#[test]
fn repeats_beyond_the_bound_are_found() {
    let mut evidence = evidence(call(answered(200)), 1);
    evidence.calls[0].once = false;
    evidence.arrivals = IndexMap::from([("c".into(), 2)]);
    assert_eq!(count(&evidence), 0);
    evidence.arrivals = IndexMap::from([("c".into(), 3)]);
    assert_eq!(count(&evidence), 1);
}
