//! The command line: exit codes, messages and help of the real program.

use std::net::SocketAddr;
use std::process::{Command, Output};

use insta::assert_snapshot;
use socket2::{Domain, Socket, Type};
use standin::raw::RawServer;

/// Runs the program without an address or key from the environment.
fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_wagtailsaddle"))
        .args(args)
        .env_remove("WAGTAILSADDLE_ADDRESS")
        .env_remove("WAGTAILSADDLE_KEY")
        .output()
        .expect("program started")
}

fn utf8(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Runs the program with a temporary file of this content in place of the argument `FILE`.
fn run_with_file(content: &str, args: &[&str]) -> Output {
    let dir = tempfile::tempdir().expect("temporary directory");
    let path = dir.path().join("input.json");
    std::fs::write(&path, content).expect("file written");
    let path = path.to_str().expect("path");
    let args: Vec<_> = args
        .iter()
        .map(|arg| if *arg == "FILE" { path } else { arg })
        .collect();
    run(&args)
}

const INVALID_SETTINGS: &str =
    r#"{"instance": "", "zone": 3, "wokers": 2, "drain_timeout": "long"}"#;

#[test]
fn serve_and_check_report_every_problem_and_fail() {
    for command in ["serve", "check"] {
        let output = run_with_file(INVALID_SETTINGS, &[command, "--settings", "FILE"]);
        assert_eq!(output.status.code(), Some(2), "{command}");
        let problems = utf8(&output.stderr);
        for field in ["instance:", "zone:", "wokers:", "drain_timeout:"] {
            assert!(
                problems.contains(field),
                "{command} does not report {field} in {problems}"
            );
        }
    }
}

#[test]
fn check_prints_the_effective_settings() {
    let output = run_with_file(
        r#"{"instance": "one", "zone": "a"}"#,
        &["check", "--settings", "FILE"],
    );
    assert_eq!(output.status.code(), Some(0));
    let settings: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(settings["membership"]["heartbeat"], "500ms");
    assert_eq!(settings["limits"]["request_body"], "8MiB");
}

#[test]
fn the_error_for_a_missing_file_suggests_checking_the_path() {
    let output = run(&["check", "--settings", "/nowhere/settings.json"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(utf8(&output.stderr).contains("check the path"));
}

#[test]
fn invalid_resources_are_rejected_before_anything_is_sent() {
    let content = r#"{"kind": "Zone", "name": "a"} {"kind": "Priority", "name": "p", "spec": {"rank": "first"}}"#;
    let output = run_with_file(content, &["apply", "--address", "127.0.0.1:9", "FILE"]);
    assert_eq!(output.status.code(), Some(2));
    let problems = utf8(&output.stderr);
    assert!(
        problems.contains("object 0") && problems.contains("object 1"),
        "{problems}"
    );
}

#[test]
fn the_error_for_an_unreachable_instance_names_its_address() {
    // A bound socket that does not listen refuses connections and keeps the port from others.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("socket");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&any_port.into()).expect("port");
    let address = socket.local_addr().expect("address");
    let address = address.as_socket().expect("address").to_string();
    let output = run(&["get", "--address", &address]);
    assert_eq!(output.status.code(), Some(4));
    assert!(utf8(&output.stderr).contains(&address));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_status_that_http_does_not_have_is_no_refusal() {
    let server = RawServer::start().await.expect("server");
    let response = b"HTTP/1.1 999 OK\r\ncontent-length: 0\r\n\r\n";
    server
        .responses
        .change(|responses| responses.request = response.to_vec());
    let output = run(&["get", "--address", &server.address.to_string()]);
    assert_eq!(output.status.code(), Some(4));
    assert!(utf8(&output.stderr).contains("invalid status code 999"));
}

#[test]
fn the_help_names_every_command_and_exit_code() {
    assert_snapshot!(utf8(&run(&["--help"]).stdout));
}

#[test]
fn completions_are_printed_for_a_shell() {
    let output = run(&["completions", "bash"]);
    assert!(utf8(&output.stdout).contains("_wagtailsaddle"));
}

#[test]
fn the_demo_prints_commands_to_try() {
    let output = run(&["demo", "--for", "100ms"]);
    assert_eq!(output.status.code(), Some(0), "{}", utf8(&output.stderr));
    let stdout = utf8(&output.stdout);
    for expected in [
        "/v1/addresses?service=certificates",
        "host: certificates.example",
        "wagtailsaddle dump",
    ] {
        assert!(
            stdout.contains(expected),
            "{expected} is missing in {stdout}"
        );
    }
}
