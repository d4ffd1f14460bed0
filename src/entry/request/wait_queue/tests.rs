use super::*;

const COST: Duration = Duration::from_millis(100);

fn flow(priority: u32, account: &str) -> Flow {
    Flow {
        priority,
        account: (!account.is_empty()).then(|| account.into()),
    }
}

fn plain(priority: u32) -> Flow {
    flow(priority, "")
}

#[test]
fn order_is_by_priority_then_by_the_callers_time() {
    let mut queue = WaitQueue::default();
    let low_priority = queue.enqueue(plain(2), Time::from_secs(1), COST);
    let later = queue.enqueue(plain(1), Time::from_secs(3), COST);
    let earlier = queue.enqueue(plain(1), Time::from_secs(2), COST);
    let may_proceed =
        |queue: &WaitQueue, ticket: &Ticket| queue.may_proceed(Some(ticket), &ticket.flow);
    assert!(may_proceed(&queue, &earlier));
    assert!(!may_proceed(&queue, &later) && !may_proceed(&queue, &low_priority));
    assert!(queue.may_proceed(None, &plain(0)) && !queue.may_proceed(None, &plain(1)));
    queue.remove(&earlier);
    assert!(may_proceed(&queue, &later));
    queue.remove(&later);
    assert!(may_proceed(&queue, &low_priority) && queue.may_proceed(None, &plain(1)));
    queue.remove(&low_priority);
    assert!(queue.may_proceed(None, &plain(5)));
}

#[test]
fn the_expected_wait_is_until_a_slot_is_free_behind_those_ahead() {
    let mut queue = WaitQueue::default();
    queue.enqueue(plain(1), Time::from_secs(1), COST);
    queue.enqueue(plain(2), Time::from_secs(1), COST * 2);
    let waits =
        |supply: &Supply| [0, 1, 2].map(|priority| queue.expected_wait(&plain(priority), supply));
    let after = |millis: [u64; 3]| millis.map(Duration::from_millis);
    assert_eq!(waits(&supply(1)), after([0, 100, 300]));
    let busy = Supply {
        free_in: after([50, 90, 0])[..2].to_vec(),
        ..supply(2)
    };
    assert_eq!(waits(&busy), after([50, 90, 150]));
    let slow = Supply {
        speed: 0.5,
        ..busy.clone()
    };
    assert_eq!(waits(&slow), after([50, 90, 250]));
    let opening = Supply {
        opens_in: Duration::from_secs(1),
        ..busy
    };
    assert_eq!(waits(&opening), after([1050, 1090, 1150]));
    assert_eq!(waits(&supply(0)), after([0; 3]), "nothing is known");
}

/// Free slots of usual speed.
fn supply(slots: usize) -> Supply {
    Supply {
        opens_in: Duration::ZERO,
        free_in: vec![Duration::ZERO; slots],
        speed: 1.0,
        slowdown: 1.0,
    }
}

fn millis(millis: u64) -> Time {
    Time::from_millis(millis)
}

#[test]
fn a_request_waits_if_the_work_ahead_and_its_own_end_within_the_callers_time() {
    let mut queue = WaitQueue::default();
    let supply = Supply {
        free_in: vec![Duration::from_millis(50); 2],
        ..supply(2)
    };
    let mut try_enqueue = |deadline| {
        queue
            .try_enqueue(Time::ZERO, plain(1), deadline, COST, &supply)
            .is_some()
    };
    assert!(!try_enqueue(millis(149)), "the next slot is free in 50 ms");
    assert!(try_enqueue(millis(150)));
    assert!(try_enqueue(millis(150)));
    assert!(!try_enqueue(millis(249)), "two others go first");
    assert!(try_enqueue(millis(250)));
    assert!(try_enqueue(millis(8_000)));
}

/// The one that has waited already would be refused though its time isn't over.
#[test]
fn a_newcomer_does_not_take_the_turn_of_one_that_would_then_be_too_late() {
    let mut queue = WaitQueue::default();
    let mut try_enqueue =
        |flow, deadline| queue.try_enqueue(Time::ZERO, flow, deadline, COST, &supply(1));
    let first = try_enqueue(plain(1), millis(150)).unwrap();
    assert_eq!(try_enqueue(plain(1), millis(140)), None);
    assert!(try_enqueue(plain(1), millis(2_000)).is_some());
    let urgent = try_enqueue(plain(0), millis(140)).unwrap();
    queue.remove_hopeless(Time::ZERO, &supply(1));
    assert!(queue.contains(&urgent));
    assert!(!queue.contains(&first), "urgent work goes first");
}

#[test]
fn a_request_is_refused_once_targets_are_lost_or_slow_down() {
    let usual = supply(2);
    let mut queue = WaitQueue::default();
    let mut tickets = Vec::new();
    for deadline in [400, 4_000] {
        let ticket = queue.try_enqueue(Time::ZERO, plain(1), millis(deadline), COST, &usual);
        tickets.push(ticket.unwrap());
    }
    let waiting = |queue: &WaitQueue| {
        tickets
            .iter()
            .filter(|ticket| queue.contains(ticket))
            .count()
    };
    queue.review(millis(20), &usual);
    assert_eq!(waiting(&queue), 2);
    let slow = Supply {
        slowdown: 7.0,
        ..usual.clone()
    };
    queue.review(millis(30), &slow);
    assert_eq!(waiting(&queue), 2, "they were looked through a moment ago");
    queue.review(millis(40), &slow);
    assert_eq!(waiting(&queue), 1);
    let lost = Supply {
        speed: 0.01,
        free_in: vec![Duration::from_secs(4)],
        ..usual
    };
    queue.review(millis(60), &lost);
    assert_eq!(waiting(&queue), 0);
}

/// Whatever comes in whatever order: those that are refused don't fit, and those that wait are
/// sent in time while the targets stay as they are.
#[test]
fn all_that_wait_are_sent_in_time_and_none_is_refused_that_fits_at_the_end() {
    arbtest::arbtest(|u| {
        let mut queue = WaitQueue::default();
        let supply = supply(u.int_in_range(1..=4_usize)?);
        for _ in 0..u.int_in_range(1..=30_u8)? {
            let deadline = millis(u.int_in_range(50..=2_000_u64)?);
            let cost = Duration::from_millis(u.int_in_range(10..=300_u64)?);
            let flow = plain(u.int_in_range(0..=2_u32)?);
            let behind_all = queue.expected_wait(&plain(u32::MAX), &supply) + cost;
            let latest_start = deadline.before(cost);
            let own = queue
                .waiting
                .get(&flow)
                .map(|own| own.places.last_key_value());
            let is_earlier = own
                .flatten()
                .is_some_and(|(last, _)| latest_start < last.latest_start);
            let ticket = queue.try_enqueue(Time::ZERO, flow, deadline, cost, &supply);
            assert!(
                ticket.is_some() || is_earlier || Time::ZERO.after(behind_all) > deadline,
                "it fits behind all others"
            );
            queue.remove_hopeless(Time::ZERO, &supply);
        }
        let mut starts = supply.starts();
        while let Some(head) = queue.heads.first().copied() {
            let flow = plain(head.priority);
            let cost = queue.waiting[&flow].places[&head.place];
            assert!(Time::ZERO.after(starts.next()) <= head.place.latest_start);
            starts.send(cost);
            queue.remove(&Ticket {
                flow,
                place: head.place,
            });
        }
        Ok(())
    });
}

/// Serves all waiting requests, and returns the accounts in order.
fn drain(queue: &mut WaitQueue, mut tickets: Vec<Ticket>) -> String {
    let mut order = String::new();
    while !tickets.is_empty() {
        let is_first = |ticket: &Ticket| queue.may_proceed(Some(ticket), &ticket.flow);
        let ticket = tickets.remove(tickets.iter().position(is_first).unwrap());
        queue.record_sent(&ticket.flow, COST);
        queue.remove(&ticket);
        order.extend(ticket.flow.account.iter().map(CallerName::as_str));
    }
    assert!(queue.waiting.is_empty() && queue.heads.is_empty());
    order
}

#[test]
fn accounts_take_turns_and_each_goes_by_its_callers_time() {
    let mut queue = WaitQueue::default();
    let mut tickets: Vec<Ticket> = (0..4)
        .map(|number| queue.enqueue(flow(1, "a"), Time::from_secs(9 - number), COST))
        .collect();
    tickets.extend((0..2).map(|_| queue.enqueue(flow(1, "b"), Time::from_secs(20), COST)));
    tickets.push(queue.enqueue(flow(0, "c"), Time::from_secs(30), COST));
    // The newcomer waits for `c`, which is more urgent, and for the first of the others.
    assert_eq!(queue.expected_wait(&flow(1, "new"), &supply(1)), COST * 3);
    assert_eq!(queue.expected_wait(&flow(1, "a"), &supply(1)), COST * 7);
    assert_eq!(drain(&mut queue, tickets), "cababaa");
    assert!(!queue.shares[&1].start_of(Some(&"a".into())).is_zero());
}

#[test]
fn a_newcomer_of_a_quiet_account_precedes_an_account_that_has_just_been_served() {
    let mut queue = WaitQueue::default();
    queue.record_sent(&flow(1, "hot"), COST);
    queue.enqueue(flow(1, "hot"), Time::from_secs(1), COST);
    assert!(queue.may_proceed(None, &flow(1, "quiet")));
    assert!(!queue.may_proceed(None, &flow(1, "hot")));
    assert_eq!(
        queue.expected_wait(&flow(1, "quiet"), &supply(1)),
        Duration::ZERO
    );
}

mod replay;
