use super::*;
use crate::names::CallerName;

mod properties;

const TARGETS: [&str; 3] = ["one", "two", "three"];

/// Settings under which every target is warm at once.
fn warm(slots: u32) -> ShardSettings {
    ShardSettings {
        slots,
        warm_up: Duration::ZERO,
        ..ShardSettings::default()
    }
}

fn shard(settings: ShardSettings, targets: usize) -> Shard {
    let mut shard = Shard::new(settings);
    list_targets(&mut shard, Time::ZERO, &TARGETS[..targets], false);
    shard
}

fn list_targets(shard: &mut Shard, now: Time, ids: &[&str], leaving: bool) {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let listed = ids.iter().map(|id| (TargetId::from(*id), address, leaving));
    shard.set_targets(now, listed);
}

fn slot_request(id: u64, rank: u8) -> SlotRequest {
    SlotRequest {
        id: PermitId(id),
        rank: Rank(rank),
        caller: CallerName::from("caller"),
        deadline: Time::from_secs(10),
        borrower: None,
        may_wait: true,
        excluded: Vec::new(),
    }
}

fn call_report(result: CallResult) -> CallReport {
    CallReport {
        result,
        latency_us: 1_000,
        load: None,
    }
}

/// Formats an outcome for comparison.
fn describe(outcome: &SlotOutcome) -> String {
    match outcome {
        SlotOutcome::Granted(permit) => format!("{} on {}", permit.id, permit.target),
        SlotOutcome::Queued => "queued".to_owned(),
        SlotOutcome::Refused(refusal) => format!("{refusal:?}"),
    }
}

fn submit(shard: &mut Shard, now: Time, slot_request: SlotRequest) -> Vec<String> {
    let (outcome, decisions) = shard.request_slot(now, slot_request);
    let mut described = vec![describe(&outcome)];
    described.extend(describe_all(&decisions));
    described
}

fn describe_all(decisions: &[Decision]) -> Vec<String> {
    let line = |decision: &Decision| format!("{}: {}", decision.id, describe(&decision.outcome));
    decisions.iter().map(line).collect()
}

#[test]
fn reserve_is_granted_to_urgent_requests_only() {
    let mut shard = shard(warm(5), 1);
    let now = Time::ZERO;
    for id in 1..=4 {
        assert_eq!(
            submit(&mut shard, now, slot_request(id, 2)),
            [format!("{id} on one")]
        );
    }
    assert_eq!(submit(&mut shard, now, slot_request(5, 2)), ["queued"]);
    assert_eq!(submit(&mut shard, now, slot_request(6, 0)), ["6 on one"]);
    assert_eq!(submit(&mut shard, now, slot_request(7, 0)), ["queued"]);
    // The first free slot goes to the urgent request, the second stays in
    // reserve.
    let first = shard.release(now, PermitId(1), &call_report(CallResult::Completed));
    assert_eq!(describe_all(&first), ["7: 7 on one"]);
    let second = shard.release(now, PermitId(2), &call_report(CallResult::Completed));
    assert_eq!(describe_all(&second), [] as [&str; 0]);
    let third = shard.release(now, PermitId(3), &call_report(CallResult::Completed));
    assert_eq!(describe_all(&third), ["5: 5 on one"]);
}

#[test]
fn single_slot_is_not_reserved() {
    let mut shard = shard(warm(1), 1);
    assert_eq!(
        submit(&mut shard, Time::ZERO, slot_request(1, 2)),
        ["1 on one"]
    );
}

#[test]
fn urgent_request_displaces_an_idle_one_from_a_full_queue() {
    let settings = ShardSettings {
        queue_length: 1,
        ..warm(1)
    };
    let mut shard = shard(settings, 1);
    let now = Time::ZERO;
    submit(&mut shard, now, slot_request(1, 0));
    assert_eq!(submit(&mut shard, now, slot_request(2, 2)), ["queued"]);
    assert_eq!(submit(&mut shard, now, slot_request(3, 2)), ["Full"]);
    assert_eq!(
        submit(&mut shard, now, slot_request(4, 0)),
        ["queued", "2: Full"]
    );
    assert_eq!(submit(&mut shard, now, slot_request(5, 0)), ["Full"]);
    let freed = shard.release(now, PermitId(1), &call_report(CallResult::Completed));
    assert_eq!(describe_all(&freed), ["4: 4 on one"]);
}

#[test]
fn request_whose_deadline_cannot_be_met_is_refused_at_once() {
    let mut shard = shard(warm(1), 1);
    let mut now = Time::ZERO;
    // Each call holds its slot for 100 ms.
    for id in 1..=20 {
        submit(&mut shard, now, slot_request(id, 0));
        now = now.after(Duration::from_millis(100));
        shard.release(now, PermitId(id), &call_report(CallResult::Completed));
    }
    submit(&mut shard, now, slot_request(30, 0));
    let within = |millis| now.after(Duration::from_millis(millis));
    let cases = [
        ("shorter than a call takes", 50, "TooLate"),
        ("shorter than the wait and the call", 150, "TooLate"),
        ("long enough", 250, "queued"),
        ("long enough, but another request is queued", 250, "TooLate"),
        ("long enough with another request queued", 350, "queued"),
    ];
    for (id, (what, left, expected)) in (40..).zip(cases) {
        let slot_request = SlotRequest {
            deadline: within(left),
            ..slot_request(id, 0)
        };
        assert_eq!(submit(&mut shard, now, slot_request), [expected], "{what}");
    }
    // A queued request is refused once it could not finish in time any more.
    let late = shard.advance(within(200));
    assert_eq!(describe_all(&late), ["42: TooLate"]);
}

#[test]
fn unusable_targets_get_no_calls() {
    let now = Time::from_secs(1);
    let mut unlisted = shard(warm(1), 1);
    submit(&mut unlisted, now, slot_request(1, 0));
    submit(&mut unlisted, now, slot_request(2, 0));
    list_targets(&mut unlisted, now, &[], false);
    assert_eq!(
        describe_all(&unlisted.advance(now)),
        ["2: NoTarget"],
        "no target is listed"
    );
    assert_eq!(submit(&mut unlisted, now, slot_request(3, 0)), ["NoTarget"]);

    let mut out_of_service = shard(warm(1), 1);
    out_of_service.configure(now, warm(1), false);
    assert_eq!(
        submit(&mut out_of_service, now, slot_request(1, 0)),
        ["NoTarget"],
        "zone out of service"
    );

    let mut failing = shard(warm(2), 3);
    for id in 1..=200 {
        let (SlotOutcome::Granted(permit), _) = failing.request_slot(now, slot_request(id, 0))
        else {
            panic!("a slot is free");
        };
        let result = match permit.target.as_str() {
            "one" => CallResult::Failed,
            _ => CallResult::Completed,
        };
        failing.release(now, permit.id, &call_report(result));
    }
    let ejected_ids = |shard: &Shard| {
        let targets = shard.targets().iter();
        targets
            .filter(|(_, target)| target.limit.is_ejected(now))
            .map(|(id, _)| id.to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(
        ejected_ids(&failing),
        ["one"],
        "a target that fails quickly is ejected"
    );
    for id in 201..=400 {
        if let (SlotOutcome::Granted(permit), _) = failing.request_slot(now, slot_request(id, 0)) {
            failing.release(now, permit.id, &call_report(CallResult::Failed));
        }
    }
    assert_eq!(
        ejected_ids(&failing).len(),
        1,
        "the share of ejected targets is bounded"
    );
}

#[test]
fn borrowed_permit_expires_after_its_deadline_and_a_margin() {
    let mut shard = shard(warm(1), 1);
    let borrowed = SlotRequest {
        borrower: Some(InstanceId::from("peer")),
        ..slot_request(1, 0)
    };
    submit(&mut shard, Time::ZERO, borrowed);
    shard.advance(Time::from_millis(10_100));
    assert_eq!(shard.outstanding().len(), 1);
    shard.advance(Time::from_millis(10_300));
    assert_eq!(shard.outstanding().len(), 0);
    assert_eq!(shard.targets()["one"].in_flight, 0);
}

#[test]
fn borrowed_permit_is_kept_while_it_is_renewed() {
    let mut shard = shard(warm(1), 1);
    let borrowed = SlotRequest {
        borrower: Some(InstanceId::from("peer")),
        deadline: Time::from_millis(50),
        ..slot_request(1, 0)
    };
    submit(&mut shard, Time::ZERO, borrowed);
    shard.advance(Time::from_millis(1_900));
    assert_eq!(shard.outstanding().len(), 1, "counted for the minimum time");
    assert!(shard.renew(
        Time::from_millis(1_900),
        PermitId(1),
        Duration::from_secs(3)
    ));
    shard.advance(Time::from_millis(4_900));
    assert_eq!(shard.outstanding().len(), 1, "renewed");
    shard.advance(Time::from_millis(5_200));
    assert_eq!(shard.outstanding().len(), 0, "expired");
    assert!(!shard.renew(
        Time::from_millis(5_200),
        PermitId(1),
        Duration::from_secs(3)
    ));
}

#[test]
fn reported_load_lowers_the_limit_only_for_foreign_calls() {
    let cases = [
        ("calls of this shard", "4/6", 6),
        ("calls of this shard, reported late", "6/6", 6),
        ("more calls than were ever granted", "8/6", 4),
        ("fewer slots than declared", "0/2", 2),
        ("more slots than declared", "0/900", 6),
        ("malformed load", "many", 6),
    ];
    for (what, load, expected) in cases {
        let mut shard = shard(warm(6), 1);
        let now = Time::from_secs(1);
        for id in 1..=6 {
            submit(&mut shard, now, slot_request(id, 0));
        }
        for id in 1..=6 {
            let call_report = CallReport {
                load: Load::parse(load),
                ..call_report(CallResult::Completed)
            };
            shard.release(now, PermitId(id), &call_report);
        }
        assert_eq!(shard.slots(now).total, expected, "{what}");
    }
}
