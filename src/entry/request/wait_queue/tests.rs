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
fn order_is_by_priority_then_by_due_time() {
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
fn the_expected_wait_counts_preceding_requests() {
    let mut queue = WaitQueue::default();
    queue.enqueue(plain(1), Time::from_secs(1), COST);
    queue.enqueue(plain(2), Time::from_secs(1), COST);
    let ahead = [0, 1, 2].map(|priority| queue.ahead_of(&plain(priority)));
    assert_eq!(ahead, [0, 1, 2]);
    let wait = expected_wait(3, 2.0, Duration::from_millis(100));
    assert_eq!(wait, Duration::from_millis(200));
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
fn accounts_take_turns_and_each_goes_by_due_time() {
    let mut queue = WaitQueue::default();
    let mut tickets: Vec<Ticket> = (0..4)
        .map(|number| queue.enqueue(flow(1, "a"), Time::from_secs(9 - number), COST))
        .collect();
    tickets.extend((0..2).map(|_| queue.enqueue(flow(1, "b"), Time::from_secs(20), COST)));
    tickets.push(queue.enqueue(flow(0, "c"), Time::from_secs(30), COST));
    // The newcomer waits for `c`, which is more urgent, and for the first of the others.
    assert_eq!(queue.ahead_of(&flow(1, "new")), 3);
    assert_eq!(queue.ahead_of(&flow(1, "a")), 7);
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
    assert_eq!(queue.ahead_of(&flow(1, "quiet")), 0);
}

mod replay;
