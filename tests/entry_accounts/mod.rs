//! Requests with the keys of client accounts.

use std::time::Duration;

use standin::prepared::settings::{AccountRow, configuration_with_accounts};
use standin::prepared::store::{Faults, Mode};

use crate::entry_cluster::{EntryCluster, HttpResponse};

/// Routes of every configuration here.
const PREFIXES: [&str; 4] = ["/safe/", "/once/", "/upload/", "/public/"];
/// Timeout of the routes, in milliseconds.
const TIMEOUT_MS: u64 = 2000;
/// Requests after which an instance may retry some.
const EARLIER_REQUESTS: u32 = 40;

fn account(name: &str, keys: &[&str]) -> AccountRow {
    AccountRow {
        name: name.into(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        ..AccountRow::default()
    }
}

impl EntryCluster {
    fn configure_accounts(&self, version: u64, accounts: &[AccountRow]) {
        let text = configuration_with_accounts(version, &PREFIXES, TIMEOUT_MS, accounts);
        self.store.put("op/config", text.as_bytes());
    }

    /// Starts instances and targets with the accounts `acme` and `zeta`.
    async fn with_accounts(instances: usize, targets: usize) -> Self {
        let cluster = Self::start(instances, targets).await;
        cluster.configure_accounts(
            8,
            &[account("acme", &["a1", "a2"]), account("zeta", &["z1"])],
        );
        for instance in 0..instances {
            cluster.wait_for_version(instance, 8).await;
        }
        cluster
    }

    /// Sends a request without a body with these header lines, on a connection of its own.
    async fn get_with(&self, instance: usize, path: &str, id: &str, lines: &str) -> HttpResponse {
        let mut conn = self.connect(instance).await;
        conn.send(head(path, id, lines).as_bytes()).await;
        conn.response().await
    }

    /// What the targets were told of the accounts of a request, at all of its arrivals, and
    /// whether they got an `Authorization` header.
    fn told(&self, id: &str) -> (Vec<String>, bool) {
        let records: Vec<_> = self
            .targets()
            .iter()
            .map(|target| target.record.get())
            .collect();
        let names = records.iter().filter_map(|record| record.accounts.get(id));
        let names = names.flatten().cloned().collect();
        let mut authorized = records.iter().flat_map(|record| &record.with_authorization);
        (names, authorized.any(|known| known == id))
    }
}

fn head(path: &str, id: &str, lines: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: x.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 2000\r\n{lines}\r\n"
    )
}

#[tokio::test]
async fn a_request_without_a_key_of_an_account_gets_401_and_is_not_run() {
    let cluster = EntryCluster::with_accounts(1, 1).await;
    let huge = format!("authorization: Bearer {}\r\n", "k".repeat(4000));
    for (number, lines) in [
        "",
        "authorization: Bearer unknown\r\n",
        "authorization: Bearer\r\n",
        "authorization: Basic a1\r\n",
        "authorization: Bearer a1\r\nAuthorization: Bearer a1\r\n",
        "authorization: Bearer a1, Bearer z1\r\n",
        "authorization: Bearer \u{fffd}\u{1f511}\r\n",
        &huge,
    ]
    .into_iter()
    .enumerate()
    {
        let id = format!("denied-{number}");
        let resp = cluster.get_with(0, "/safe/x", &id, lines).await;
        assert_eq!(resp.status, 401, "{lines} {resp:?}");
        assert_eq!(resp.header("www-authenticate"), Some("Bearer"));
        assert_eq!(cluster.arrivals(&id), 0);
    }
    let resp = cluster.get_with(0, "/none/x", "no-route", "").await;
    assert_eq!(resp.status, 404, "the route is looked up first");
    cluster.wait_for_log(0, "key rejected", 8).await;
    let resp = cluster
        .get_with(0, "/safe/x", "ok", "authorization: bearer a2\r\n")
        .await;
    assert_eq!(resp.status, 200, "{resp:?}");
    let requests = cluster.metric(
        0,
        "entry_account_requests{account=\"acme\",result=\"answered\"}",
    );
    assert_eq!(requests.await, Some(1.0));
}

#[tokio::test]
async fn targets_get_the_name_of_the_account_and_no_key_whatever_the_client_sends() {
    let cluster = EntryCluster::with_accounts(1, 2).await;
    // They give the instance a retry budget.
    for number in 0..EARLIER_REQUESTS {
        let id = format!("earlier-{number}");
        let resp = cluster.get_with(0, "/public/x", &id, "");
        assert_eq!(resp.await.status, 200);
    }
    cluster.shed_each_request_once();
    let claims = "X-Tenant: zeta\r\nx-tenant: root\r\nX-TENANT:\r\n\
                  connection: x-tenant, authorization\r\nauthorization: Bearer a1\r\n";
    for path in ["/safe/x", "/once/x"] {
        let resp = cluster.get_with(0, path, path, claims).await;
        assert_eq!(resp.status, 200, "{resp:?}");
        let names = vec!["acme".to_owned(); 2];
        assert_eq!(cluster.told(path), (names, false), "also at the retry");
    }
    let mut conn = cluster.connect(0).await;
    let upload = "POST /upload/x HTTP/1.1\r\nhost: x.example\r\nx-request-id: up\r\n\
         x-deadline-ms: 2000\r\ntransfer-encoding: chunked\r\ntrailer: X-Tenant\r\n\
         authorization: Bearer z1\r\nx-tenant: acme\r\n\r\n\
         3\r\nabc\r\n0\r\nX-Tenant: acme\r\nAuthorization: Bearer a1\r\n\r\n";
    conn.send(upload.as_bytes()).await;
    let resp = conn.response().await;
    assert!(resp.body.ends_with("ran POST /upload/x with 3"), "{resp:?}");
    assert_eq!(cluster.told("up"), (vec!["zeta".into(); 2], false));
}

#[tokio::test]
async fn a_public_route_needs_no_key_and_passes_none_on() {
    let cluster = EntryCluster::with_accounts(1, 1).await;
    for (id, line, names) in [
        ("without", "x-tenant: acme\r\n", vec![]),
        (
            "unknown",
            "authorization: Bearer k\r\nx-tenant: acme\r\n",
            vec![],
        ),
        (
            "known",
            "authorization: Bearer z1\r\nx-tenant: acme\r\n",
            vec!["zeta".to_owned()],
        ),
    ] {
        let resp = cluster.get_with(0, "/public/x", id, line).await;
        assert_eq!(resp.status, 200, "{id}: {resp:?}");
        assert_eq!(cluster.told(id), (names, false), "{id}");
    }
}

#[tokio::test]
async fn without_accounts_authorization_is_passed_on() {
    let cluster = EntryCluster::start(1, 1).await;
    let lines = "authorization: Basic dTpw\r\nx-tenant: theirs\r\n";
    let resp = cluster.get_with(0, "/safe/x", "plain", lines).await;
    assert_eq!(resp.status, 200, "{resp:?}");
    assert_eq!(cluster.told("plain"), (vec!["theirs".into()], true));
}

#[tokio::test]
async fn a_withdrawn_key_ends_with_its_version_on_open_connections_but_not_for_running_requests() {
    let cluster = EntryCluster::with_accounts(1, 1).await;
    let mut conn = cluster.connect(0).await;
    let line = "authorization: Bearer a1\r\n";
    cluster.set_work(Duration::from_millis(900));
    let mut running = cluster.connect(0).await;
    running
        .send(head("/once/x", "running", line).as_bytes())
        .await;
    cluster.wait_until_running("running").await;
    cluster.configure_accounts(9, &[account("acme", &["a2"]), account("zeta", &["z1"])]);
    cluster.wait_for_version(0, 9).await;
    conn.send(head("/safe/x", "withdrawn", line).as_bytes())
        .await;
    assert_eq!(conn.response().await.status, 401);
    assert_eq!(cluster.arrivals("withdrawn"), 0);
    cluster.set_work(Duration::from_millis(2));
    let line = "authorization: Bearer a2\r\n";
    conn.send(head("/safe/x", "kept", line).as_bytes()).await;
    assert_eq!(conn.response().await.status, 200, "on the same connection");
    assert_eq!(running.response().await.status, 200, "admitted before");
}

#[tokio::test]
async fn a_restarted_instance_without_the_store_gets_the_accounts_from_a_peer() {
    let mut cluster = EntryCluster::with_accounts(2, 1).await;
    cluster.kill(1);
    cluster.configure_accounts(9, &[account("acme", &["a2"])]);
    cluster.wait_for_version(0, 9).await;
    cluster.store.faults.set(Faults {
        mode: Mode::Refusing(503),
        ..Faults::default()
    });
    cluster.launch(1);
    cluster.wait_for_version(1, 9).await;
    cluster.wait_for_targets(1, 1).await;
    for (key, status) in [("a1", 401), ("z1", 401), ("a2", 200)] {
        let line = format!("authorization: Bearer {key}\r\n");
        let resp = cluster.get_with(1, "/safe/x", key, &line).await;
        assert_eq!(resp.status, status, "{key} {resp:?}");
    }
    assert_eq!(cluster.runs("a1") + cluster.runs("z1"), 0);
}
