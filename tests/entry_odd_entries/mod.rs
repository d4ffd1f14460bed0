//! Entries of other writers in the store, which must harm no instance.

use std::net::SocketAddr;

use serde_json::{Value, json};
use standin::prepared::settings::{PEER_PORT, configuration};
use standin::prepared::store::Mode;

use super::entry_cluster::EntryCluster;

/// Address at which nothing listens.
const CLOSED: &str = "127.0.0.1:1";

/// Entries of targets with one odd field each, as JSON text.
fn odd_targets(address: SocketAddr) -> Vec<String> {
    let nested = "[".repeat(5_000) + &"]".repeat(5_000);
    let long = json!("x".repeat(9_000)).to_string();
    let absurd = [
        "1e308",
        "1e400",
        "-1",
        "18446744073709551615",
        "\"\"",
        "\"\\r\\n\"",
    ];
    let values = absurd.into_iter().chain([nested.as_str(), long.as_str()]);
    let fields = [
        "service",
        "address",
        "zone",
        "version",
        "state",
        "warmup_left_ms",
        "born",
    ];
    let entry = json!({
        "service": "s", "address": CLOSED, "zone": "a", "version": "v1", "slots": 6,
        "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1,
    });
    let with = |field: &str, value: &str| {
        let mut entry = entry.clone();
        entry[field] = "ODD".into();
        entry.to_string().replace("\"ODD\"", value)
    };
    let mut odd: Vec<String> = values
        .enumerate()
        .map(|(number, value)| with(fields[number % fields.len()], value))
        .collect();
    odd.extend(fields.iter().map(|field| with(field, &nested)));
    odd.extend(["4294967295", "4294967296", "1e308", "0"].map(|slots| with("slots", slots)));
    odd.extend(["1e400", &nested].map(|sequence| with("sequence", sequence)));
    odd.extend(["1e308", "18446744073709551615"].map(|value| with("warmup_left_ms", value)));
    for port in ["0", "65536", "-1"] {
        odd.push(with("address", &format!("\"127.0.0.1:{port}\"")));
    }
    let unspecified = Value::from(format!("0.0.0.0:{}", address.port()));
    odd.push(with("address", &unspecified.to_string()));
    odd
}

#[tokio::test]
async fn odd_entries_end_no_instance_and_every_instance_follows_later_ones() {
    let mut cluster = EntryCluster::start(2, 2).await;
    let sound = cluster.targets()[0].address();
    for (number, entry) in odd_targets(sound).iter().enumerate() {
        let key = format!("servers/odd-{number}");
        cluster.store.put(&key, entry.as_bytes());
    }
    let entry = String::from_utf8(cluster.targets()[0].target_record("a", false)).unwrap();
    let long = "x".repeat(9_000);
    for (key, value) in [
        ("servers/", &*entry),
        ("servers/odd\r\nx-odd: 1", &*entry),
        ("servers/odd id", &*entry),
        ("servers/empty", ""),
        ("op/evacuate/", &*long),
        ("op/evacuate/nowhere\r\n", ""),
        ("entries/odd", "{}"),
        ("entries/0.0.0.0:0", r#"{"address":"0.0.0.0:0","zone":"a"}"#),
        ("rollouts/s", &*long),
    ] {
        cluster.store.put(key, value.as_bytes());
    }
    cluster.store.put("servers/no-text", b"\xff\xfe");
    // One that follows them, and one that reads them at its start.
    cluster.kill(1);
    cluster.launch(1);
    cluster.wait_for_version(1, 7).await;
    cluster.configure(9, &["/safe/", "/once/", "/late/"]);
    let added = cluster.add_target("v1").await;
    cluster.put_target(0, true);
    let sound = [1, added].map(|number| format!("{} ran", cluster.targets()[number].id));
    for instance in 0..2 {
        cluster.wait_for_version(instance, 9).await;
        cluster.wait_for_log(instance, "servers/t2", 1).await;
        for number in 0..20 {
            let id = format!("{instance}-{number}");
            let resp = cluster.get(instance, "/late/x", &id).await;
            assert_eq!(resp.status, 200, "{resp:?}");
            assert!(sound.iter().any(|by| resp.body.starts_with(by)), "{resp:?}");
        }
        assert!(!cluster.log(instance).contains("shutting down"));
    }
}

#[tokio::test]
async fn an_instance_registers_in_place_of_an_odd_entry_under_its_key() {
    let mut cluster = EntryCluster::start(2, 1).await;
    let key = format!("entries/{}:{PEER_PORT}", cluster.caller_address(1).ip());
    let registration = || async { cluster.store.value(&key) };
    cluster.wait_until(registration, |_| true).await;
    let sound = cluster.store.value(&key).unwrap();
    let elsewhere = json!({ "address": CLOSED, "zone": "a" }).to_string();
    for odd in ["odd", &elsewhere] {
        cluster.kill(1);
        cluster.store.put(&key, odd.as_bytes());
        cluster.launch(1);
        let registration = || async { cluster.store.value(&key) };
        cluster
            .wait_until(registration, |value| *value == sound)
            .await;
    }
}

#[tokio::test]
async fn requests_are_served_with_absurd_times_in_the_configuration() {
    let cluster = EntryCluster::start(1, 1).await;
    let text = configuration(9, &["/safe/", "/once/"], 2000);
    let mut absurd: Value = serde_json::from_str(&text.replace("2000,500", "1e308,1e308")).unwrap();
    absurd["limits"] = json!({
        "max_header_bytes": 16384, "max_body_bytes": 65536,
        "header_timeout_ms": 1e308, "idle_timeout_ms": 1e308,
    });
    cluster
        .store
        .put("op/config", absurd.to_string().as_bytes());
    cluster.wait_for_version(0, 9).await;
    let mut conn = cluster.connect(0).await;
    for (request, body) in [("GET", ""), ("POST", "content-length: 3\r\n")] {
        let head = format!("{request} /safe/x HTTP/1.1\r\nhost: x.example\r\n");
        let head = format!("{head}x-request-id: {request}\r\n{body}\r\n");
        conn.send(head.as_bytes()).await;
        // The body arrives after the head.
        tokio::task::yield_now().await;
        conn.send(if body.is_empty() { b"" } else { b"abc" }).await;
        let resp = conn.response().await;
        assert_eq!(resp.status, 200, "{resp:?}");
    }
}

#[tokio::test]
async fn an_instance_follows_the_store_after_more_changes_than_fit_a_response() {
    let cluster = EntryCluster::start(1, 1).await;
    cluster
        .store
        .faults
        .change(|faults| faults.mode = Mode::Refusing(503));
    // 11 MB in base64.
    let large = vec![b'x'; 84_000];
    for number in 0..100 {
        cluster.store.put(&format!("other/{number:02}"), &large);
    }
    cluster.configure(9, &["/safe/", "/once/", "/late/"]);
    cluster
        .store
        .faults
        .change(|faults| faults.mode = Mode::Serving);
    cluster.wait_for_version(0, 9).await;
}
