use super::*;
use crate::rollout::evidence::{OwnEvidence, Response, Side};

fn run(number: u64) -> OwnEvidence {
    OwnEvidence::new("lookup".into(), "v2".into(), number)
}

fn history() -> History {
    History::new(Time::ZERO, Duration::from_secs(3))
}

fn new_total(history: &History) -> u32 {
    history.total(Scope::All).new.total()
}

#[test]
fn lost_repeated_and_late_reports_do_not_change_the_totals() {
    let mut evidence = run(1);
    let reports: Vec<EvidenceReport> = (0..5)
        .map(|target| {
            evidence.record(Side::New, 1, target, Response::Good);
            evidence.report()
        })
        .collect();
    let mut history = history();
    for index in [1, 1, 0, 4, 2, 4] {
        history.receive(Time::ZERO, &reports[index]);
    }
    assert_eq!(new_total(&history), 5);
    assert_eq!(history.good_targets(), 5);
    let targets = history.targets(Window::Recent, Scope::Route(1));
    assert_eq!(targets.len(), 5);
}

#[test]
fn a_restarted_instance_adds_to_its_run_before() {
    let (mut before, mut after) = (run(1), run(2));
    before.record(Side::New, 1, 7, Response::Good);
    before.record(Side::New, 1, 7, Response::Failed);
    after.record(Side::New, 1, 7, Response::Slow);
    let mut history = history();
    let late = before.report();
    history.receive(Time::ZERO, &late);
    history.receive(Time::ZERO, &after.report());
    history.receive(Time::ZERO, &late);
    assert_eq!(new_total(&history), 3);
    assert_eq!(history.good_targets(), 1);
}

#[test]
fn a_route_that_is_new_in_a_report_is_counted() {
    let mut evidence = run(1);
    let mut history = history();
    evidence.record(Side::Old, 1, 7, Response::Good);
    history.receive(Time::ZERO, &evidence.report());
    assert_eq!(history.scopes(), [Scope::All]);
    evidence.record(Side::Old, 2, 7, Response::Failed);
    history.receive(Time::ZERO, &evidence.report());
    let scopes = [Scope::All, Scope::Route(1), Scope::Route(2)];
    assert_eq!(history.scopes(), scopes);
    assert_eq!(history.total(Scope::Route(2)).old.failed, 1);
}

#[test]
fn only_the_last_seconds_are_recent() {
    let mut evidence = run(1);
    let mut history = history();
    for second in 0..10 {
        for _ in 0..SLICE_RESPONSES {
            evidence.record(Side::Old, 1, 7, Response::Good);
        }
        evidence.record(Side::New, 1, 7, Response::Good);
        history.receive(Time::from_secs(second), &evidence.report());
        history.advance(Time::from_secs(second + 1), false);
    }
    let recent = history.targets(Window::Recent, Scope::All)[&7];
    assert!((3..=4).contains(&recent.total()), "{recent:?}");
    assert_eq!(history.targets(Window::Whole, Scope::All)[&7].total(), 10);
    let rate = history.peak_rate(Time::from_secs(10));
    assert!((20.0..=22.0).contains(&rate), "{rate}");
}
