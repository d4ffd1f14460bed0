//! Metrics of one instance, in the Prometheus text format.
//!
//! Counters are incremented where the events happen; gauges are read from the tables
//! when the metrics are rendered.

use std::time::Duration;

use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

use crate::dispatch::kind::ErrorKind;
use crate::names::ServiceName;
use crate::platform::budget::StoreCalls;
use crate::tables::Tables;

/// Outcome label of a call that got its target's response.
const ANSWERED: &str = "answered";
/// Upper bounds of the histogram buckets, in seconds.
const CALL_BUCKETS: [f64; 12] = [
    0.000_25, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 5.0,
];

/// The metrics of one instance.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    calls: IntCounterVec,
    call_seconds: Histogram,
    permit_wait_seconds: Histogram,
    /// Attempts beyond the first.
    pub(crate) retries: IntCounter,
    /// Attempts sent beside a slow first one.
    pub(crate) hedges: IntCounter,
    /// Calls that a target was asked to cancel.
    pub(crate) cancellations: IntCounter,
    /// Permit requests sent to other instances.
    pub(crate) permit_requests: IntCounter,
    store_calls: IntGaugeVec,
    /// Permits requested for shards that other instances own.
    pub(crate) permits_borrowed: IntCounter,
    /// Borrowed permits that had been lent in advance.
    pub(crate) permits_lent: IntCounter,
    /// Probes of targets' health and load.
    pub(crate) probes: IntCounter,
    /// Probes that the instance may send at once.
    pub(crate) probe_budget: Gauge,
    gauges: Gauges,
}

#[derive(Debug)]
struct Gauges {
    revision: IntGauge,
    members: IntGauge,
    owned_shards: IntGauge,
    in_flight: IntGauge,
    waiting: IntGauge,
    lease_left_ms: IntGauge,
}

impl Metrics {
    /// Creates and registers the metrics of one instance.
    ///
    /// # Errors
    /// [`prometheus::Error`] when a name is registered twice, which is a bug.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("wagtailsaddle".to_owned()), None)?;
        let calls = IntCounterVec::new(
            Opts::new("calls_total", "Calls by service and outcome"),
            &["service", "outcome"],
        )?;
        registry.register(Box::new(calls.clone()))?;
        let store_calls = IntGaugeVec::new(
            Opts::new("store_calls", "Calls of the key-value service by kind"),
            &["kind"],
        )?;
        registry.register(Box::new(store_calls.clone()))?;
        Ok(Self {
            calls,
            store_calls,
            call_seconds: histogram(
                &registry,
                "call_seconds",
                "Time from a call's arrival to the head of its response",
            )?,
            permit_wait_seconds: histogram(
                &registry,
                "permit_wait_seconds",
                "Time that a call waited for a permit",
            )?,
            retries: counter(&registry, "retries_total", "Attempts beyond the first")?,
            hedges: counter(
                &registry,
                "hedges_total",
                "Attempts sent beside a slow first one",
            )?,
            cancellations: counter(
                &registry,
                "cancellations_total",
                "Calls that a target was asked to cancel",
            )?,
            permit_requests: counter(
                &registry,
                "permit_requests_total",
                "Permit requests sent to other instances",
            )?,
            permits_borrowed: counter(
                &registry,
                "permits_borrowed_total",
                "Permits requested for shards that other instances own",
            )?,
            permits_lent: counter(
                &registry,
                "permits_lent_total",
                "Borrowed permits that had been lent in advance",
            )?,
            probes: counter(
                &registry,
                "probes_total",
                "Probes of targets' health and load",
            )?,
            probe_budget: probe_budget(&registry)?,
            gauges: Gauges::new(&registry)?,
            registry,
        })
    }

    /// Counts a call that got its target's response, with its time to the response head.
    pub(crate) fn record_response(&self, service: &ServiceName, took: Duration) {
        self.calls
            .with_label_values(&[service.as_str(), ANSWERED])
            .inc();
        self.call_seconds.observe(took.as_secs_f64());
    }

    /// Counts a call that ended with an error kind; `service` is empty when the call was
    /// refused before its service was known.
    pub(crate) fn record_error(&self, service: &str, kind: ErrorKind) {
        self.calls.with_label_values(&[service, kind.name()]).inc();
    }

    /// Records how long a call waited for its permit.
    pub(crate) fn record_permit_wait(&self, wait: Duration) {
        self.permit_wait_seconds.observe(wait.as_secs_f64());
    }

    /// Renders all metrics in the Prometheus text format.
    pub(crate) fn render(&self, tables: &Tables, store: StoreCalls) -> String {
        self.gauges.update(tables);
        self.update_store_calls(store);
        let mut buf = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            tracing::warn!(%err, "cannot encode all metrics; the page is incomplete");
        }
        String::from_utf8_lossy(&buf).into_owned()
    }
}

impl Metrics {
    fn update_store_calls(&self, store: StoreCalls) {
        let kinds = [
            ("range", store.range),
            ("txn", store.txn),
            ("grant", store.grant),
            ("keep_alive", store.keep_alive),
            ("revoke", store.revoke),
            ("watch", store.watch),
            ("watches_waiting", store.watches_waiting),
            ("over_budget", store.over_budget),
        ];
        for (kind, count) in kinds {
            self.store_calls
                .with_label_values(&[kind])
                .set(to_i64(count));
        }
    }
}

impl Gauges {
    fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            revision: gauge(
                registry,
                "config_revision",
                "Revision of the configuration in force",
            )?,
            members: gauge(
                registry,
                "members",
                "Instances that this one knows, itself included",
            )?,
            owned_shards: gauge(registry, "owned_shards", "Shards that this instance owns")?,
            in_flight: gauge(
                registry,
                "permits_in_flight",
                "Permits granted and not yet returned",
            )?,
            waiting: gauge(registry, "calls_waiting", "Calls queued for a slot")?,
            lease_left_ms: gauge(
                registry,
                "lease_left_ms",
                "Time until this instance's lease ends by its own clock",
            )?,
        })
    }

    fn update(&self, tables: &Tables) {
        self.revision.set(to_i64(tables.config().revision.0));
        self.members
            .set(to_i64(tables.directory().members.len() as u64));
        let left = tables.lease().valid_until().since(tables.clock.now());
        self.lease_left_ms
            .set(i64::try_from(left.as_millis()).unwrap_or(i64::MAX));
        let shards = tables.owned_shards();
        self.owned_shards.set(to_i64(shards.len() as u64));
        let (mut in_flight, mut waiting) = (0, 0);
        for (_, owned) in shards {
            owned.with(|shard| {
                in_flight += shard.outstanding().len() as u64;
                waiting += shard.waiting() as u64;
            });
        }
        self.in_flight.set(to_i64(in_flight));
        self.waiting.set(to_i64(waiting));
    }
}

fn to_i64(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
    let opts = HistogramOpts::new(name, help).buckets(CALL_BUCKETS.to_vec());
    let histogram = Histogram::with_opts(opts)?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn probe_budget(registry: &Registry) -> Result<Gauge, prometheus::Error> {
    let gauge = Gauge::new("probe_budget", "Probes that this instance may send at once")?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}
