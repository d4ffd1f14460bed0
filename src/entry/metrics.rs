//! Counters and latencies of an entry instance, in the Prometheus text format.

use std::sync::Arc;
use std::time::Duration;

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

use crate::account::{AccountCounts, AccountUsage};

/// Upper bounds of the latency buckets, in seconds; around the usual objectives.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 2.0, 5.0,
];

/// Accounts with counts of their own, so that the metrics stay small with many accounts.
const NAMED_ACCOUNTS: usize = 20;

/// The metrics of one instance.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    registry: Registry,
    requests: IntCounterVec,
    request_seconds: Histogram,
    target_seconds: Histogram,
    dropped_lines: IntGauge,
    account_requests: IntGaugeVec,
    other_account_requests: IntGaugeVec,
    /// Retries that used the retry budget, without hedges.
    pub retries: IntCounter,
    /// Hedges sent beside a slow attempt.
    pub hedges: IntCounter,
    /// Connections opened to targets.
    pub connects: IntCounter,
    /// Connections to targets for requests that could not be opened.
    pub connect_failures: IntCounter,
    /// Health checks sent to targets.
    pub probes: IntCounter,
    /// Checks of a target right before a request.
    pub prechecks: IntCounter,
    /// Requests that went to another target after such a check.
    pub declined: IntCounter,
    /// Bytes of datagrams sent to other instances, without their headers.
    pub peer_bytes: IntCounter,
    /// Records of the store that can't be decoded.
    pub rejected_records: IntCounter,
    /// Routes of the configuration in force whose kind is unknown.
    pub unknown_kinds: IntGauge,
    /// Bytes held for the bodies of requests, beyond the first 16 KiB of each.
    pub body_bytes: IntGauge,
    /// Records of requests suspected of crashing targets.
    pub quarantine_records: IntGauge,
    /// Those of which the peers may not know all.
    pub quarantine_unsent: IntGauge,
    /// Roll-outs that are neither completed nor rolled back.
    pub rollouts: IntGauge,
    /// Attempts that a roll-out compares, by the version that ran them.
    pub rollout_attempts: IntCounterVec,
    /// Tokens of client accounts, by event.
    tokens: IntCounterVec,
    /// Fetches of changes from peers, by result.
    fetches: IntCounterVec,
    /// Calls to the platform's store, by kind.
    pub store_calls: Arc<IntCounterVec>,
}

impl EntryMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// A name is invalid or used twice.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| -> Result<IntCounter, prometheus::Error> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let by_label = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let latency = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            let histogram = Histogram::with_opts(opts)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge, prometheus::Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(gauges.clone()))?;
            Ok::<_, prometheus::Error>(gauges)
        };
        let dropped_lines = gauge("entry_log_dropped", "Log lines dropped so far.")?;
        Ok(Self {
            dropped_lines,
            requests: by_label("entry_requests_total", "Requests by outcome.", "outcome")?,
            request_seconds: latency("entry_request_seconds", "Duration of requests.")?,
            target_seconds: latency("entry_target_seconds", "Duration of answered attempts.")?,
            account_requests: gauges(
                "entry_account_requests",
                "Requests of the accounts with the most.",
                &["account", "result"],
            )?,
            other_account_requests: gauges(
                "entry_other_account_requests",
                "Requests of all other accounts together.",
                &["result"],
            )?,
            retries: counter("entry_repeats_total", "Retries that used the retry budget.")?,
            hedges: counter("entry_hedges_total", "Hedges sent beside a slow attempt.")?,
            connects: counter("entry_connects_total", "Connections opened to targets.")?,
            connect_failures: counter(
                "entry_connect_failures_total",
                "Connections to targets that could not be opened.",
            )?,
            probes: counter("entry_probes_total", "Health checks sent to targets.")?,
            prechecks: counter(
                "entry_prechecks_total",
                "Checks of a target before a request.",
            )?,
            declined: counter(
                "entry_declined_total",
                "Targets left for another after a check.",
            )?,
            peer_bytes: counter("entry_peer_bytes_total", "Bytes of datagrams to peers.")?,
            rejected_records: counter(
                "entry_rejected_records_total",
                "Invalid records of the store.",
            )?,
            unknown_kinds: gauge("entry_unknown_route_kinds", "Routes whose kind is unknown.")?,
            body_bytes: gauge("entry_body_bytes", "Bytes held for the bodies of requests.")?,
            quarantine_records: gauge(
                "entry_quarantine_records",
                "Requests suspected of crashing targets.",
            )?,
            quarantine_unsent: gauge(
                "entry_quarantine_unsent",
                "Of these, those with crashes that peers may not know.",
            )?,
            rollouts: gauge("entry_rollouts", "Roll-outs that are not finished.")?,
            rollout_attempts: by_label(
                "entry_rollout_attempts_total",
                "Attempts that a roll-out compares, by version.",
                "version",
            )?,
            tokens: by_label(
                "entry_account_tokens_total",
                "Questions to homes of client accounts, tokens granted as a home, and questions without one.",
                "event",
            )?,
            fetches: by_label(
                "entry_change_fetches_total",
                "Fetches of changes from peers by result: fetched, busy or failed.",
                "result",
            )?,
            store_calls: Arc::new(by_label(
                "entry_store_calls_total",
                "Calls to the store by kind.",
                "kind",
            )?),
            registry,
        })
    }

    /// Records the outcome and the duration of a request.
    pub(crate) fn record_request(&self, outcome: &str, took: Duration) {
        self.requests.with_label_values(&[outcome]).inc();
        self.request_seconds.observe(took.as_secs_f64());
    }

    /// Records a request that was rejected before it was routed.
    pub(crate) fn record_rejection(&self, outcome: &str) {
        self.requests.with_label_values(&[outcome]).inc();
    }

    /// Records that a home of a client account was asked for tokens.
    pub(crate) fn record_token_question(&self) {
        self.tokens.with_label_values(&["asked"]).inc();
    }

    /// Records the answer of this instance as a home of a client account.
    pub(crate) fn record_grant(&self, tokens: u16) {
        let event = if tokens > 0 { "granted" } else { "refused" };
        let counter = self.tokens.with_label_values(&[event]);
        counter.inc_by(u64::from(tokens).max(1));
    }

    /// Records the result of a fetch of changes from a peer.
    pub(crate) fn record_fetch(&self, result: &str) {
        self.fetches.with_label_values(&[result]).inc();
    }

    /// Records the duration of an answered attempt.
    pub(crate) fn record_attempt(&self, took: Duration) {
        self.target_seconds.observe(took.as_secs_f64());
    }

    /// Replaces the counts by account.
    pub(crate) fn set_accounts(&self, usage: &AccountUsage) {
        let (named, others) = usage.busiest(NAMED_ACCOUNTS);
        self.account_requests.reset();
        for (name, counts) in named {
            for (result, count) in by_result(counts) {
                let labels = [name.as_str(), result];
                self.account_requests.with_label_values(&labels).set(count);
            }
        }
        for (result, count) in by_result(others) {
            let gauge = self.other_account_requests.with_label_values(&[result]);
            gauge.set(count);
        }
    }

    /// Encodes the metrics in the text format.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        let dropped = crate::observe::line_writer::dropped();
        self.dropped_lines
            .set(i64::try_from(dropped).unwrap_or(i64::MAX));
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            tracing::warn!(%err, "failed to encode the metrics");
        }
        buf
    }
}

fn by_result(counts: AccountCounts) -> [(&'static str, i64); 3] {
    [
        ("all", counts.requests),
        ("answered", counts.answered),
        ("refused", counts.refused),
    ]
    .map(|(result, count)| (result, i64::try_from(count).unwrap_or(i64::MAX)))
}
