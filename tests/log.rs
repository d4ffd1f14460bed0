//! Fields and level of the log of a real instance.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use http::Method;
use serde_json::{Value, json};
use testing::{HttpClient, request};
use wagtailsaddle::server::Announcement;

/// Kills its process on drop, also when the test fails.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn log_lines_name_instance_and_zone_and_the_level_changes_at_run_time() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let path = dir.path().join("settings.json");
    let settings = json!({
        "instance": "one",
        "zone": "a",
        "membership": {"heartbeat": "50ms"},
        "platform": {"store": "127.0.0.1:1", "instance_list": "127.0.0.1:1"},
        "log": {"json": true},
    });
    std::fs::write(&path, settings.to_string()).expect("settings written");
    let process = Command::new(env!("CARGO_BIN_EXE_wagtailsaddle"))
        .args(["serve", "--settings"])
        .arg(&path)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("instance started");
    let mut process = KillOnDrop(process);
    let mut line = String::new();
    let stdout = process.0.stdout.take().expect("standard output");
    BufReader::new(stdout)
        .read_line(&mut line)
        .expect("announcement");
    let addresses: Announcement = serde_json::from_str(&line).expect("announcement in JSON");
    let stderr = BufReader::new(process.0.stderr.take().expect("standard error"));
    let mut lines = stderr
        .lines()
        .map(|line| -> Value { serde_json::from_str(&line.expect("line")).expect("line in JSON") });

    let serving = lines.next().expect("first line");
    assert_eq!(serving["fields"]["message"], "serving");
    assert_eq!(serving["span"]["id"], "one");
    assert_eq!(serving["span"]["zone"], "a");

    let http = HttpClient::new();
    let set_level = |filter| {
        request(
            Method::PUT,
            addresses.admin,
            "admin.test",
            "/v1/log-level",
            filter,
        )
    };
    let refused = http
        .send(set_level("wagtailsaddle=loud"))
        .await
        .expect("response");
    assert_eq!(refused.status, 400, "{}", refused.body);
    let accepted = http
        .send(set_level("wagtailsaddle=debug"))
        .await
        .expect("response");
    assert_eq!(accepted.status, 200, "{}", accepted.body);
    let debug = lines
        .find(|line| line["level"] == "DEBUG")
        .expect("a line at the new level");
    assert_eq!(debug["span"]["id"], "one");
}
