//! Runs the bench briefly over real processes. The tests check that reports are complete
//! and outcomes correct, not how fast the systems are.

use std::path::Path;
use std::process::{Command, Output};

use serde_json::Value;

fn bench(args: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_wagtailsaddle-bench"))
        .args(args)
        .output()
        .expect("the bench starts");
    assert!(
        output.status.success(),
        "bench {args:?}: {}\n{}",
        String::from_utf8_lossy(&output.stderr),
        String::from_utf8_lossy(&output.stdout),
    );
    output
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn run(name: &str, export: &Path) -> Value {
    let export = export.to_str().expect("a path in UTF-8");
    let sizes = ["--duration", "500ms", "--instances", "2", "--seed", "7"];
    let mut args = vec!["run", name, "--export", export];
    args.extend(sizes);
    bench(&args);
    let text = std::fs::read_to_string(export).expect("an export");
    serde_json::from_str(&text).expect("an export in JSON")
}

fn names(of: &Value) -> Vec<&str> {
    let of = of.as_array().expect("an array");
    of.iter().filter_map(|one| one["name"].as_str()).collect()
}

#[test]
fn the_list_names_every_experiment() {
    let listed = text(&bench(&["list"]));
    for name in [
        "overhead",
        "tail",
        "measuring",
        "zone",
        "ownership",
        "faults",
        "scale",
        "config",
        "recovery",
        "cold",
    ] {
        assert!(
            listed.lines().any(|line| line.starts_with(name)),
            "{name} is not in {listed}"
        );
    }
}

#[test]
fn an_unknown_experiment_is_refused() {
    let output = Command::new(env!("CARGO_BIN_EXE_wagtailsaddle-bench"))
        .args(["run", "nonsense"])
        .output()
        .expect("the bench starts");
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("bench list"));
}

#[test]
fn systems_are_compared_and_the_results_exported() {
    let dir = tempfile::tempdir().expect("a directory");
    let export = dir.path().join("tail.json");
    let report = run("tail", &export);
    assert_eq!(report["seed"], 7);
    let experiment = &report["experiments"][0];
    assert_eq!(
        names(&experiment["rows"]),
        [
            "wagtailsaddle",
            "power of two",
            "fixed shares",
            "round robin"
        ],
    );
    for row in experiment["rows"].as_array().expect("rows") {
        let figures = row["figures"].as_array().expect("figures");
        let answered = figures
            .iter()
            .any(|figure| figure["name"] == "unloaded p50" && figure["value"].as_f64() > Some(0.0));
        assert!(answered, "no call was answered: {row}");
    }
    let check = experiment["checks"]
        .as_array()
        .expect("checks")
        .iter()
        .find(|check| check["asked"] == "no call told wrongly or run twice")
        .expect("the check");
    assert_eq!(check["met"], true, "{check}");
    let plot = std::fs::read_to_string(export.with_extension("svg")).expect("a plot");
    assert!(plot.contains("<svg"));

    let export = export.to_str().expect("a path in UTF-8");
    assert!(text(&bench(&["table", export])).contains("### tail"));
    assert!(text(&bench(&["compare", export, export])).contains("+0.0 %"));
}

#[test]
fn the_overhead_is_measured_against_direct_calls_and_a_bare_pass_through() {
    let dir = tempfile::tempdir().expect("a directory");
    let report = run("overhead", &dir.path().join("overhead.json"));
    assert_eq!(
        names(&report["experiments"][0]["rows"]),
        ["direct", "bare pass-through", "wagtailsaddle"],
    );
}
