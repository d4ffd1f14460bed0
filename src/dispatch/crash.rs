//! Detects target crashes after a call broke off, and shares the suspected requests with peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::Deserialize;
use sha2::{Digest, Sha256};

use super::body::CallBody;
use super::call::Call;
use super::quarantine::{Case, Evidence, Fingerprint, PassOn};
use crate::instance::Instance;
use crate::macros::data;
use crate::platform::http::send;
use crate::platform::store::StoreError;

/// Delay before the check, in which other calls on a crashing target break off too.
const CHECK_DELAY: Duration = Duration::from_millis(10);
/// Timeout of a health request to the target and of a report to a peer.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Length of the SHA-256 prefix that forms a fingerprint.
const FINGERPRINT_BYTES: usize = 8;

data! {
    /// Quarantine records that an instance sends to its peers, and their response.
    pub struct QuarantineReport {
        /// Suspected or blocked requests.
        pub cases: Vec<Case>,
        /// Crashes of these requests; empty in a report of an earlier release.
        #[serde(default)]
        pub evidence: Vec<Evidence>,
    }
}

#[derive(Debug, Deserialize)]
struct Health {
    start: String,
}

/// Returns the fingerprint of a call; only the buffered beginning of a large body counts.
pub(crate) fn fingerprint(call: &Call, body: &CallBody) -> Fingerprint {
    let mut digest = Sha256::new();
    let path = call.head.uri.path_and_query();
    let parts = [
        call.requirements.service.as_str().as_bytes(),
        call.head.method.as_str().as_bytes(),
        path.map_or("/", |path| path.as_str()).as_bytes(),
        body.buffered(),
    ];
    for part in parts {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    let mut bytes = [0; FINGERPRINT_BYTES];
    bytes.copy_from_slice(&digest.finalize()[..FINGERPRINT_BYTES]);
    Fingerprint(u64::from_be_bytes(bytes))
}

/// Records that a call broke off on a target. If the target has crashed, the crash is
/// attributed to requests that broke off on it, and their records are sent to the peers.
pub(crate) async fn check_after_broken_call(
    instance: &Arc<Instance>,
    target: SocketAddr,
    fingerprint: Fingerprint,
) {
    let now = instance.tables.clock.now();
    instance
        .dispatch
        .quarantine()
        .record_broken_call(now, target, [fingerprint]);
    tokio::time::sleep(CHECK_DELAY).await;
    if !has_crashed(instance, target).await {
        return;
    }
    let now = instance.tables.clock.now();
    let cases = instance
        .dispatch
        .quarantine()
        .record_crash(now, target, None);
    if !cases.is_empty() {
        tracing::warn!(%target, ?cases, "target crashed; requests in flight on it are suspected");
        report_to_peers(instance, cases).await;
    }
}

/// Whether the target cannot be connected to or has restarted.
async fn has_crashed(instance: &Instance, target: SocketAddr) -> bool {
    let client = &instance.dispatch.http;
    let path = "/platform/health";
    match send(
        client,
        Method::GET,
        target,
        path,
        Bytes::new(),
        CHECK_TIMEOUT,
    )
    .await
    {
        Err(StoreError::Unreachable(_)) => true,
        Err(_) => false,
        Ok(response) => serde_json::from_slice::<Health>(&response.body).is_ok_and(|health| {
            instance
                .dispatch
                .quarantine()
                .detect_restart(target, &health.start)
        }),
    }
}

/// Reports the records to all other members and merges their records of the same requests.
async fn report_to_peers(instance: &Arc<Instance>, cases: Vec<Case>) {
    let fingerprints = cases.iter().map(|case| case.fingerprint);
    let evidence = evidence_of(instance, fingerprints);
    let msg = QuarantineReport { cases, evidence };
    let directory = instance.tables.directory();
    let others = directory
        .members
        .values()
        .filter(|member| member.start != instance.tables.member.start);
    let requests = others.map(|member| async {
        let response =
            instance
                .peers
                .call::<QuarantineReport>(member.peers, "quarantine_report", &msg);
        tokio::time::timeout(CHECK_TIMEOUT, response).await
    });
    let responses = futures_util::future::join_all(requests).await;
    for response in responses.into_iter().flatten().flatten() {
        merge(instance, &response);
    }
}

/// Merges the records of a peer.
pub(crate) fn merge(instance: &Instance, report: &QuarantineReport) {
    let now = instance.tables.clock.now();
    let mut quarantine = instance.dispatch.quarantine();
    for evidence in &report.evidence {
        quarantine.merge_evidence(now, evidence, PassOn::No);
    }
    for case in &report.cases {
        quarantine.merge(now, case);
    }
}

fn evidence_of(
    instance: &Instance,
    fingerprints: impl Iterator<Item = Fingerprint>,
) -> Vec<Evidence> {
    let quarantine = instance.dispatch.quarantine();
    fingerprints
        .filter_map(|fingerprint| quarantine.evidence(fingerprint))
        .collect()
}

/// Handles a peer's report: merges it and returns this instance's records of the same requests.
pub(crate) fn handle_report(instance: &Instance, report: &QuarantineReport) -> QuarantineReport {
    merge(instance, report);
    let now = instance.tables.clock.now();
    let reported = |case: &Case| {
        report
            .cases
            .iter()
            .any(|other| other.fingerprint == case.fingerprint)
    };
    let quarantine = instance.dispatch.quarantine();
    let cases = quarantine.cases(now).filter(reported).collect();
    drop(quarantine);
    let fingerprints = report.cases.iter().map(|case| case.fingerprint);
    QuarantineReport {
        cases,
        evidence: evidence_of(instance, fingerprints),
    }
}
