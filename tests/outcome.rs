//! Outcomes of calls whose targets fail: the reported outcome, and how often the call ran.

use std::time::Duration;

use http::Method;
use serde_json::{Value, json};
use standin::faults::ResponseFault;
use standin::platform::Platform;
use testing::{
    HttpClient, HttpResponse, Instance, basic_resources, eventually, group, request, service,
    start_instance_with,
};

/// Responses to a call that are not valid HTTP.
const NO_HTTP: [&str; 8] = [
    "HTTP/1.1 101 Switching\r\nx-call-id: CALL\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
    "HTTP/1.1 000 OK\r\nx-call-id: CALL\r\ncontent-length: 4\r\n\r\nbody",
    "HTTP/1.1 600 OK\r\nx-call-id: CALL\r\ncontent-length: 4\r\n\r\nbody",
    "HTTP/1.1 999 OK\r\nx-call-id: CALL\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "HTTP/1.0 200 OK\r\nx-call-id: CALL\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-call-id: CALL\r\ncontent-length: 4\r\n\nx-load: 1\r\n\r\nbody",
    "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nx-call-id: CALL\r\ncontent-length: 2\r\n\nx: 1\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nx-call-id: CALL\r\nx load: 1\r\ncontent-length: 4\r\n\r\nbody",
];

/// One instance and a few targets of the service `orders`.
struct Fixture {
    platform: Platform,
    instance: Instance,
    http: HttpClient,
}

async fn fixture(targets: usize, overrides: Value) -> Fixture {
    let platform = Platform::start(&[group("orders", "a", targets)])
        .await
        .expect("platform");
    let instance = start_instance_with(&platform, "one", "a", &overrides);
    let http = HttpClient::new();
    let mut resources = basic_resources(&["a"]);
    let mut orders = service("orders");
    orders["spec"]["priority"] = json!("urgent");
    orders["spec"]["rules"] = json!([{"path": "/again", "repeatable": true}]);
    resources.push(orders);
    http.declare(instance.addresses.admin, &resources).await;
    let fixture = Fixture {
        platform,
        instance,
        http,
    };
    eventually("calls are served", || async {
        let resp = fixture
            .send(Method::GET, "/ready", "ready", 10_000)
            .await
            .ok()?;
        (resp.status == 200).then_some(())
    })
    .await;
    fixture
}

impl Fixture {
    async fn send(
        &self,
        method: Method,
        path: &str,
        id: &str,
        deadline_ms: u64,
    ) -> Result<HttpResponse, String> {
        let callers = self.instance.addresses.callers;
        let mut req = request(method, callers, "orders.test", path, "");
        let headers = req.headers_mut();
        headers.insert("x-request-id", id.parse().expect("identifier"));
        headers.insert("x-deadline-ms", deadline_ms.into());
        self.http.send(req).await
    }

    /// How often all targets together ran a request.
    fn runs(&self, id: &str) -> u32 {
        let targets = &self.platform.targets;
        targets.iter().map(|target| target.record.runs_of(id)).sum()
    }

    /// Sets the fault of every target.
    fn set_fault(&self, fault: ResponseFault) {
        for target in &self.platform.targets {
            target.faults.change(|faults| faults.response = fault);
        }
    }

    /// Checks that a call that may run once did not run twice, and that a call reported as not run
    /// did not run.
    fn check_runs(&self, repeatable: bool, id: &str, reported: Option<&str>) {
        let runs = self.runs(id);
        assert!(repeatable || runs <= 1, "{id} ran {runs} times");
        assert!(
            reported != Some("no") || runs == 0,
            "{id} ran {runs} times, but was reported as not run"
        );
    }
}

/// Expected error kind, `ran` value and number of runs for a fault of the targets; no kind means a
/// successful response.
struct FaultCase {
    fault: ResponseFault,
    kind: Option<&'static str>,
    ran: Option<&'static str>,
    runs: u32,
}

fn fault_cases() -> Vec<FaultCase> {
    let case = |fault, kind, ran, runs| FaultCase {
        fault,
        kind,
        ran,
        runs,
    };
    [
        case(ResponseFault::None, None, None, 1),
        case(ResponseFault::Shed, Some("target_shed"), Some("no"), 0),
        case(
            ResponseFault::ResetNotRun,
            Some("target_broken"),
            Some("unknown"),
            0,
        ),
        case(
            ResponseFault::ResetBeforeFirstByte,
            Some("target_broken"),
            Some("unknown"),
            1,
        ),
        case(
            ResponseFault::TruncatedHead,
            Some("target_broken"),
            Some("unknown"),
            1,
        ),
        case(
            ResponseFault::Stall,
            Some("target_timeout"),
            Some("unknown"),
            1,
        ),
        case(
            ResponseFault::Late(Duration::from_secs(600)),
            Some("target_timeout"),
            Some("unknown"),
            1,
        ),
        case(ResponseFault::TrailingBytes, None, None, 1),
    ]
    .into_iter()
    .chain(NO_HTTP.map(|bytes| {
        let fault = ResponseFault::Raw(bytes);
        case(fault, Some("target_broken"), Some("unknown"), 1)
    }))
    .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn faults_have_their_outcome_for_calls_that_may_run_once() {
    let fixture = fixture(2, json!({})).await;
    for (number, case) in fault_cases().into_iter().enumerate() {
        let id = format!("once-{number}");
        fixture.set_fault(case.fault);
        let resp = fixture.send(Method::POST, "/order", &id, 700).await;
        let resp = resp.expect("a response");
        let body = resp.json();
        assert_eq!(body["title"].as_str(), case.kind, "{:?}", case.fault);
        assert_eq!(body["ran"].as_str(), case.ran, "{:?}", case.fault);
        assert_eq!(fixture.runs(&id), case.runs, "{:?}", case.fault);
        fixture.check_runs(false, &id, body["ran"].as_str());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_response_never_ends_cleanly() {
    let faults = [
        ResponseFault::ResetAfterFirstByte,
        ResponseFault::TruncatedBody,
        ResponseFault::TruncatedChunkedBody,
    ];
    let fixture = fixture(2, json!({})).await;
    for (number, fault) in faults.into_iter().enumerate() {
        let id = format!("cut-{number}");
        fixture.set_fault(fault);
        let resp = fixture.send(Method::POST, "/order", &id, 5_000).await;
        assert!(resp.is_err(), "{fault:?}: {resp:?}");
        assert_eq!(fixture.runs(&id), 1, "{fault:?}");
        fixture.set_fault(ResponseFault::None);
        let resp = fixture.send(Method::GET, "/status", "after", 5_000).await;
        assert!(
            resp.expect("a response").body.contains("ran after"),
            "{fault:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_call_is_retried_on_another_target() {
    // At most one retry per call, so that the budget's reserve of ten retries suffices.
    let fixture = fixture(2, json!({})).await;
    for (number, fault) in [ResponseFault::Shed, ResponseFault::ResetBeforeFirstByte]
        .into_iter()
        .enumerate()
    {
        fixture.set_fault(ResponseFault::None);
        let first = &fixture.platform.targets[0];
        first.faults.change(|faults| faults.response = fault);
        for call in 0..3 {
            let id = format!("again-{number}-{call}");
            let resp = fixture.send(Method::POST, "/again", &id, 5_000).await;
            assert_eq!(resp.expect("a response").status, 200, "{fault:?}");
            assert!(fixture.runs(&id) >= 1);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_connection_is_reported_as_not_run() {
    let fixture = fixture(1, json!({})).await;
    fixture.platform.targets[0].restart(Duration::from_secs(600));
    let resp = eventually("the target refuses the connection", || async {
        let resp = fixture
            .send(Method::POST, "/order", "refused", 5_000)
            .await
            .ok()?;
        (resp.json()["title"] == "target_refused").then_some(resp)
    })
    .await;
    assert_eq!(resp.json()["ran"], "no");
    assert!(resp.head.headers.contains_key("retry-after"));
    fixture.check_runs(false, "refused", Some("no"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_restart_during_a_call_leaves_its_outcome_unknown() {
    let fixture = fixture(1, json!({})).await;
    let call = fixture.send(Method::POST, "/order?work_ms=600000", "restart", 20_000);
    let restart = async {
        eventually("the call runs", || async {
            (fixture.runs("restart") == 1).then_some(())
        })
        .await;
        fixture.platform.targets[0].restart(Duration::from_millis(50));
    };
    let (resp, ()) = tokio::join!(call, restart);
    let body = resp.expect("a response").json();
    assert_eq!(
        (body["title"].as_str(), body["ran"].as_str()),
        (Some("target_broken"), Some("unknown"))
    );
    fixture.check_runs(false, "restart", body["ran"].as_str());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_past_its_deadline_is_cancelled_at_its_target() {
    let fixture = fixture(1, json!({})).await;
    let resp = fixture
        .send(Method::POST, "/order?work_ms=600000", "slow", 300)
        .await;
    assert_eq!(resp.expect("a response").json()["title"], "target_timeout");
    let record = &fixture.platform.targets[0].record;
    eventually("the target has cancelled the call", || async {
        (record.cancelled.load(std::sync::atomic::Ordering::Relaxed) == 1).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced() {
    let fixture = fixture(1, json!({})).await;
    let target = &fixture.platform.targets[0];
    // On a busy machine the pooled connection may be too old to be reused, and the call goes on a
    // new one; a later call then reuses a silenced connection.
    let mut number = 0;
    let failed = eventually("a call is sent on a silent connection", || {
        number += 1;
        let id = format!("caught-{number}");
        target.silence_connections();
        let fixture = &fixture;
        async move {
            let resp = fixture.send(Method::POST, "/order", &id, 3_000).await;
            let resp = resp.expect("a response");
            (resp.status != 200).then_some((id, resp.json()))
        }
    })
    .await;
    assert_eq!(failed.1["ran"], "unknown");
    fixture.check_runs(false, &failed.0, Some("unknown"));
    let resp = fixture.send(Method::POST, "/order", "next", 3_000).await;
    assert_eq!(resp.expect("a response").status, 200);
    fixture.check_runs(false, "next", None);
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_after_a_response_never_reach_another_call() {
    let fixture = fixture(1, json!({})).await;
    let mut refused = 0;
    for number in 0..200 {
        let id = format!("own-{number}");
        fixture.set_fault(match number % 3 {
            0 => ResponseFault::None,
            1 => ResponseFault::LeadingResponse,
            _ => ResponseFault::TrailingBytes,
        });
        let resp = fixture.send(Method::POST, "/order", &id, 5_000).await;
        let resp = resp.expect("a response");
        let is_own_response = resp.body.contains(&format!("ran {id} "));
        let reported = resp.json()["ran"].as_str().map(str::to_owned);
        assert!(
            is_own_response || reported.as_deref() == Some("unknown"),
            "{id}: {}",
            resp.body
        );
        refused += usize::from(!is_own_response);
        fixture.check_runs(false, &id, reported.as_deref());
    }
    assert!(refused > 0, "no call got a leading response");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_targets_is_quarantined_after_two_crashes() {
    let fixture = fixture(6, json!({})).await;
    for target in &fixture.platform.targets {
        target.faults.change(|faults| {
            faults.crash_on = Some("poison".to_owned());
            faults.down_for = Duration::from_secs(600);
        });
    }
    let crashed = || {
        let has_restarted =
            |target: &&standin::target::TargetStandin| !target.start_id().ends_with("-0");
        fixture
            .platform
            .targets
            .iter()
            .filter(has_restarted)
            .count()
    };
    // These calls are in flight when the targets crash; they must not be quarantined.
    let in_flight: Vec<_> = (0..6)
        .map(|number| format!("/beside/{number}?work_ms=60"))
        .collect();
    let calls = in_flight
        .iter()
        .map(|path| fixture.send(Method::POST, path, path, 10_000));
    let crashing = async {
        let mut kinds = Vec::new();
        for number in 0..12 {
            let id = format!("bad-{number}");
            let resp = fixture.send(Method::GET, "/poison", &id, 5_000).await;
            let body = resp.expect("a response").json();
            fixture.check_runs(true, &id, body["ran"].as_str());
            kinds.push(body["title"].as_str().unwrap_or_default().to_owned());
        }
        kinds
    };
    let (_, kinds) = tokio::join!(futures_util::future::join_all(calls), crashing);
    assert_eq!(crashed(), 2, "{kinds:?}");
    assert_eq!(kinds.last().map(String::as_str), Some("quarantined"));
    for path in &in_flight {
        let resp = eventually("a call that was in flight at a crash is served", || async {
            let resp = fixture
                .send(Method::POST, path, "again", 5_000)
                .await
                .ok()?;
            assert_ne!(resp.json()["title"], "quarantined", "{path}");
            (resp.status == 200).then_some(resp)
        })
        .await;
        assert!(resp.body.contains("ran again"));
    }
    let dump = fixture.http.dump(fixture.instance.addresses.admin).await;
    let held = |case: &&Value| case["held_ms"].as_u64() > Some(0);
    let cases = dump["quarantine"].as_array().expect("quarantine");
    assert_eq!(cases.iter().filter(held).count(), 1, "{cases:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_targets_is_quarantined_on_every_instance() {
    let first = fixture(5, json!({})).await;
    let second = start_instance_with(&first.platform, "two", "a", &json!({}));
    for target in &first.platform.targets {
        target.faults.change(|faults| {
            faults.crash_on = Some("poison".to_owned());
            faults.down_for = Duration::from_secs(600);
        });
    }
    eventually("the instances know each other", || async {
        let mut known = 0;
        for instance in [&first.instance, &second] {
            let dump = first.http.dump(instance.addresses.admin).await;
            known += dump["members"].as_array().map_or(0, Vec::len);
        }
        (known == 4).then_some(())
    })
    .await;
    let mut reported = Vec::new();
    for round in 0..4 {
        for instance in [&first.instance, &second] {
            let callers = instance.addresses.callers;
            let req = request(Method::POST, callers, "orders.test", "/poison", "");
            let resp = first.http.send(req).await.expect("a response");
            reported.push((round, resp.json()["title"].as_str().map(str::to_owned)));
        }
    }
    let has_restarted =
        |target: &&standin::target::TargetStandin| !target.start_id().ends_with("-0");
    let crashed = first.platform.targets.iter().filter(has_restarted).count();
    assert_eq!(crashed, 2, "{reported:?}");
    let last_round = reported.iter().filter(|(round, _)| *round == 3);
    for (_, kind) in last_round {
        assert_eq!(kind.as_deref(), Some("quarantined"), "{reported:?}");
    }
}

/// A counter on the metrics page of the instance.
async fn counter(fixture: &Fixture, name: &str) -> u64 {
    let admin = fixture.instance.addresses.admin;
    let page = fixture.http.get(admin, "admin.test", "/metrics").await;
    let page = page.expect("metrics").body;
    let line = page.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.trim().parse().ok())
        .expect("counter")
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_stay_within_the_budget_while_every_target_fails() {
    let fixture = fixture(3, json!({})).await;
    fixture.set_fault(ResponseFault::Shed);
    for number in 0..200 {
        let id = format!("outage-{number}");
        let resp = fixture.send(Method::GET, "/status", &id, 5_000).await;
        let body = resp.expect("a response").json();
        assert_eq!(body["ran"], "no", "{body}");
        fixture.check_runs(true, &id, Some("no"));
    }
    // The budget's reserve is ten retries; a slow machine may start another pair of windows.
    let retries = counter(&fixture, "wagtailsaddle_retries_total").await;
    assert!((1..=20).contains(&retries), "{retries} retries");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_urgent_call_on_a_slow_target_is_hedged() {
    let fixture = fixture(2, json!({})).await;
    let mut hedged = None;
    for number in 0..400 {
        if number == 200 {
            let slow = &fixture.platform.targets[0];
            slow.faults
                .change(|faults| faults.delay = Duration::from_secs(600));
        }
        let id = format!("urgent-{number}");
        let resp = fixture.send(Method::GET, "/status", &id, 20_000).await;
        let resp = resp.expect("a response");
        assert_eq!(resp.status, 200, "{}", resp.body);
        if counter(&fixture, "wagtailsaddle_hedges_total").await > 0 && number > 200 {
            hedged = Some(resp);
            break;
        }
    }
    let hedged = hedged.expect("a hedge was sent");
    assert!(hedged.body.starts_with("orders-a-1 "), "{}", hedged.body);
    let record = &fixture.platform.targets[0].record;
    eventually("the slow attempt is cancelled", || async {
        (record.cancelled.load(std::sync::atomic::Ordering::Relaxed) > 0).then_some(())
    })
    .await;
}
