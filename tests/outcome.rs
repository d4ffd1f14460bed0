//! The outcome of calls whose target fails, through a real instance.

mod common;

use std::time::Duration;

use common::{Answer, Http, Instance, basics, eventually, group, request, service, start_with};
use http::Method;
use serde_json::{Value, json};
use standin::faults::ResponseFault;
use standin::platform::Platform;

/// One instance before a few targets of the service `orders`.
struct Scene {
    platform: Platform,
    instance: Instance,
    http: Http,
}

async fn scene(targets: usize, change: Value) -> Scene {
    let platform = Platform::start(&[group("orders", "a", targets)])
        .await
        .expect("platform");
    let instance = start_with(&platform, "one", "a", &change);
    let http = Http::new();
    let mut resources = basics(&["a"]);
    let mut orders = service("orders");
    orders["spec"]["priority"] = json!("urgent");
    orders["spec"]["rules"] = json!([{"path": "/again", "repeatable": true}]);
    resources.push(orders);
    http.declare(instance.addresses.admin, &resources).await;
    let scene = Scene {
        platform,
        instance,
        http,
    };
    eventually("calls are served", || async {
        let answer = scene
            .send(Method::GET, "/ready", "ready", 10_000)
            .await
            .ok()?;
        (answer.status == 200).then_some(())
    })
    .await;
    scene
}

impl Scene {
    async fn send(
        &self,
        method: Method,
        path: &str,
        id: &str,
        deadline_ms: u64,
    ) -> Result<Answer, String> {
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

    fn fault(&self, fault: ResponseFault) {
        for target in &self.platform.targets {
            target.faults.change(|faults| faults.response = fault);
        }
    }

    /// No call that may run once ran twice, and none told `not run` ran.
    fn check(&self, repeatable: bool, id: &str, told: Option<&str>) {
        let runs = self.runs(id);
        assert!(repeatable || runs <= 1, "{id} ran {runs} times");
        assert!(
            told != Some("no") || runs == 0,
            "{id} ran, but was told not run"
        );
    }
}

/// What the caller of one call must be told, and how often targets may run it.
struct Row {
    fault: ResponseFault,
    kind: Option<&'static str>,
    ran: Option<&'static str>,
    runs: u32,
}

fn rows() -> Vec<Row> {
    let row = |fault, kind, ran, runs| Row {
        fault,
        kind,
        ran,
        runs,
    };
    vec![
        row(ResponseFault::None, None, None, 1),
        row(ResponseFault::Shed, Some("target_shed"), Some("no"), 0),
        row(
            ResponseFault::ResetNotRun,
            Some("target_broken"),
            Some("unknown"),
            0,
        ),
        row(
            ResponseFault::ResetBeforeFirstByte,
            Some("target_broken"),
            Some("unknown"),
            1,
        ),
        row(
            ResponseFault::Stall,
            Some("target_timeout"),
            Some("unknown"),
            1,
        ),
        row(
            ResponseFault::Late(Duration::from_secs(600)),
            Some("target_timeout"),
            Some("unknown"),
            1,
        ),
        row(ResponseFault::TrailingBytes, None, None, 1),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn the_fault_table_for_calls_that_may_run_once() {
    let scene = scene(2, json!({})).await;
    for (number, row) in rows().into_iter().enumerate() {
        let id = format!("once-{number}");
        scene.fault(row.fault);
        let answer = scene.send(Method::POST, "/order", &id, 700).await;
        let answer = answer.expect("an answer");
        let body = answer.json();
        assert_eq!(body["title"].as_str(), row.kind, "{:?}", row.fault);
        assert_eq!(body["ran"].as_str(), row.ran, "{:?}", row.fault);
        assert_eq!(scene.runs(&id), row.runs, "{:?}", row.fault);
        scene.check(false, &id, body["ran"].as_str());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_breaks_off_never_ends_cleanly() {
    let faults = [
        ResponseFault::ResetAfterFirstByte,
        ResponseFault::TruncatedBody,
        ResponseFault::TruncatedChunkedBody,
    ];
    let scene = scene(2, json!({})).await;
    for (number, fault) in faults.into_iter().enumerate() {
        let id = format!("cut-{number}");
        scene.fault(fault);
        let answer = scene.send(Method::POST, "/order", &id, 5_000).await;
        assert!(answer.is_err(), "{fault:?}: {answer:?}");
        assert_eq!(scene.runs(&id), 1, "{fault:?}");
        scene.fault(ResponseFault::None);
        let answer = scene.send(Method::GET, "/status", "after", 5_000).await;
        assert!(
            answer.expect("an answer").body.contains("ran after"),
            "{fault:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_call_is_answered_by_another_target() {
    // One retry a call at most, so that the budget's reserve of ten suffices.
    let scene = scene(2, json!({})).await;
    for (number, fault) in [ResponseFault::Shed, ResponseFault::ResetBeforeFirstByte]
        .into_iter()
        .enumerate()
    {
        scene.fault(ResponseFault::None);
        let first = &scene.platform.targets[0];
        first.faults.change(|faults| faults.response = fault);
        for call in 0..3 {
            let id = format!("again-{number}-{call}");
            let answer = scene.send(Method::POST, "/again", &id, 5_000).await;
            assert_eq!(answer.expect("an answer").status, 200, "{fault:?}");
            assert!(scene.runs(&id) >= 1);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_connection_is_told_as_not_run() {
    let scene = scene(1, json!({})).await;
    scene.platform.targets[0].restart(Duration::from_secs(600));
    let answer = eventually("the target refuses", || async {
        let answer = scene
            .send(Method::POST, "/order", "refused", 5_000)
            .await
            .ok()?;
        (answer.json()["title"] == "target_refused").then_some(answer)
    })
    .await;
    assert_eq!(answer.json()["ran"], "no");
    assert!(answer.head.headers.contains_key("retry-after"));
    scene.check(false, "refused", Some("no"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_restarts_in_mid_call_leaves_the_call_unknown() {
    let scene = scene(1, json!({})).await;
    let call = scene.send(Method::POST, "/order?work_ms=600000", "restart", 20_000);
    let restart = async {
        eventually("the call runs", || async {
            (scene.runs("restart") == 1).then_some(())
        })
        .await;
        scene.platform.targets[0].restart(Duration::from_millis(50));
    };
    let (answer, ()) = tokio::join!(call, restart);
    let body = answer.expect("an answer").json();
    assert_eq!(
        (body["title"].as_str(), body["ran"].as_str()),
        (Some("target_broken"), Some("unknown"))
    );
    scene.check(false, "restart", body["ran"].as_str());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_past_its_deadline_is_cancelled_at_its_target() {
    let scene = scene(1, json!({})).await;
    let answer = scene
        .send(Method::POST, "/order?work_ms=600000", "slow", 300)
        .await;
    assert_eq!(answer.expect("an answer").json()["title"], "target_timeout");
    let record = &scene.platform.targets[0].record;
    eventually("the target has cancelled the call", || async {
        (record.cancelled.load(std::sync::atomic::Ordering::Relaxed) == 1).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced_by_new_ones() {
    let scene = scene(1, json!({})).await;
    let target = &scene.platform.targets[0];
    // A call goes on a new connection when the old one has aged, as on a busy
    // machine; the next one then finds an old one.
    let mut number = 0;
    let caught = eventually("a call is caught on a silent connection", || {
        number += 1;
        let id = format!("caught-{number}");
        target.silence_connections();
        let scene = &scene;
        async move {
            let answer = scene.send(Method::POST, "/order", &id, 3_000).await;
            let answer = answer.expect("an answer");
            (answer.status != 200).then_some((id, answer.json()))
        }
    })
    .await;
    assert_eq!(caught.1["ran"], "unknown");
    scene.check(false, &caught.0, Some("unknown"));
    let answer = scene.send(Method::POST, "/order", "next", 3_000).await;
    assert_eq!(answer.expect("an answer").status, 200);
    scene.check(false, "next", None);
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_after_an_answer_never_reach_another_call() {
    let scene = scene(1, json!({})).await;
    let mut refused = 0;
    for number in 0..200 {
        let id = format!("own-{number}");
        scene.fault(match number % 3 {
            0 => ResponseFault::None,
            1 => ResponseFault::LeadingResponse,
            _ => ResponseFault::TrailingBytes,
        });
        let answer = scene.send(Method::POST, "/order", &id, 5_000).await;
        let answer = answer.expect("an answer");
        let own = answer.body.contains(&format!("ran {id} "));
        let told = answer.json()["ran"].as_str().map(str::to_owned);
        assert!(
            own || told.as_deref() == Some("unknown"),
            "{id}: {}",
            answer.body
        );
        refused += usize::from(!own);
        scene.check(false, &id, told.as_deref());
    }
    assert!(refused > 0, "no late answer came before a call's own");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_targets_costs_two_of_them() {
    let scene = scene(6, json!({})).await;
    for target in &scene.platform.targets {
        target.faults.change(|faults| {
            faults.crash_on = Some("poison".to_owned());
            faults.down_for = Duration::from_secs(600);
        });
    }
    let dead = || {
        let crashed = |target: &&standin::target::TargetStandin| !target.start_id().ends_with("-0");
        scene.platform.targets.iter().filter(crashed).count()
    };
    // Calls stand beside the crash; they are not held back.
    let beside: Vec<_> = (0..6)
        .map(|number| format!("/beside/{number}?work_ms=60"))
        .collect();
    let calls = beside
        .iter()
        .map(|path| scene.send(Method::POST, path, path, 10_000));
    let bad = async {
        let mut kinds = Vec::new();
        for number in 0..12 {
            let id = format!("bad-{number}");
            let answer = scene.send(Method::GET, "/poison", &id, 5_000).await;
            let body = answer.expect("an answer").json();
            scene.check(true, &id, body["ran"].as_str());
            kinds.push(body["title"].as_str().unwrap_or_default().to_owned());
        }
        kinds
    };
    let (_, kinds) = tokio::join!(futures_util::future::join_all(calls), bad);
    assert_eq!(dead(), 2, "{kinds:?}");
    assert_eq!(kinds.last().map(String::as_str), Some("quarantined"));
    for path in &beside {
        let answer = eventually("a call that stood beside is served", || async {
            let answer = scene.send(Method::POST, path, "again", 5_000).await.ok()?;
            assert_ne!(answer.json()["title"], "quarantined", "{path}");
            (answer.status == 200).then_some(answer)
        })
        .await;
        assert!(answer.body.contains("ran again"));
    }
    let dump = scene.http.dump(scene.instance.addresses.admin).await;
    let held = |case: &&Value| case["held_ms"].as_u64() > Some(0);
    let cases = dump["quarantine"].as_array().expect("quarantine");
    assert_eq!(cases.iter().filter(held).count(), 1, "{cases:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_is_held_back_by_every_instance() {
    let first = scene(5, json!({})).await;
    let second = start_with(&first.platform, "two", "a", &json!({}));
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
    let mut told = Vec::new();
    for round in 0..4 {
        for instance in [&first.instance, &second] {
            let callers = instance.addresses.callers;
            let req = request(Method::POST, callers, "orders.test", "/poison", "");
            let answer = first.http.send(req).await.expect("an answer");
            told.push((round, answer.json()["title"].as_str().map(str::to_owned)));
        }
    }
    let crashed = |target: &&standin::target::TargetStandin| !target.start_id().ends_with("-0");
    let dead = first.platform.targets.iter().filter(crashed).count();
    assert_eq!(dead, 2, "{told:?}");
    let last_round = told.iter().filter(|(round, _)| *round == 3);
    for (_, kind) in last_round {
        assert_eq!(kind.as_deref(), Some("quarantined"), "{told:?}");
    }
}

/// A counter on an instance's metrics page.
async fn counter(scene: &Scene, name: &str) -> u64 {
    let admin = scene.instance.addresses.admin;
    let page = scene.http.get(admin, "admin.test", "/metrics").await;
    let page = page.expect("metrics").body;
    let line = page.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|value| value.trim().parse().ok())
        .expect("counter")
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_every_target_costs_few_retries() {
    let scene = scene(3, json!({})).await;
    scene.fault(ResponseFault::Shed);
    for number in 0..200 {
        let id = format!("outage-{number}");
        let answer = scene.send(Method::GET, "/status", &id, 5_000).await;
        let body = answer.expect("an answer").json();
        assert_eq!(body["ran"], "no", "{body}");
        scene.check(true, &id, Some("no"));
    }
    // The reserve of ten; a slow machine may begin another pair of windows.
    let retries = counter(&scene, "wagtailsaddle_retries_total").await;
    assert!((1..=20).contains(&retries), "{retries} retries");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_urgent_call_on_a_slow_target_is_answered_by_another() {
    let scene = scene(2, json!({})).await;
    let mut hedged = None;
    for number in 0..400 {
        if number == 200 {
            let slow = &scene.platform.targets[0];
            slow.faults
                .change(|faults| faults.delay = Duration::from_secs(600));
        }
        let id = format!("urgent-{number}");
        let answer = scene.send(Method::GET, "/status", &id, 20_000).await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.body);
        if counter(&scene, "wagtailsaddle_hedges_total").await > 0 && number > 200 {
            hedged = Some(answer);
            break;
        }
    }
    let hedged = hedged.expect("a call that was sent twice");
    assert!(hedged.body.starts_with("orders-a-1 "), "{}", hedged.body);
    let record = &scene.platform.targets[0].record;
    eventually("the slow attempt is cancelled", || async {
        (record.cancelled.load(std::sync::atomic::Ordering::Relaxed) > 0).then_some(())
    })
    .await;
}
