//! Metrics of one instance, in the Prometheus text form.
//!
//! Counters are raised where things happen; gauges are read from the tables
//! when the page is asked for.

use std::time::Duration;

use prometheus::{
    Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

use crate::dispatch::kind::ErrorKind;
use crate::names::ServiceName;
use crate::platform::budget::StoreCalls;
use crate::tables::Tables;

/// Outcome label of a call that got its target's answer.
const ANSWERED: &str = "answered";
/// Upper bounds of the buckets for times of calls, in seconds.
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
    /// Questions to other instances for permits.
    pub(crate) permit_requests: IntCounter,
    store_calls: IntGaugeVec,
    /// Permits of shards that other instances own.
    pub(crate) permits_borrowed: IntCounter,
    /// Those of them that had been lent ahead of need.
    pub(crate) permits_lent: IntCounter,
    /// Questions to targets for their health and load.
    pub(crate) probes: IntCounter,
    /// Such questions that the instance may ask at once.
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
    /// Builds the metrics of one instance.
    ///
    /// # Errors
    /// [`prometheus::Error`] when a name is taken twice, which is a defect.
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
                "Time from a call's arrival to the head of its answer",
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
                "Questions to other instances for permits",
            )?,
            permits_borrowed: counter(
                &registry,
                "permits_borrowed_total",
                "Permits asked for of shards that other instances own",
            )?,
            permits_lent: counter(
                &registry,
                "permits_lent_total",
                "Borrowed permits that had been lent ahead of need",
            )?,
            probes: counter(
                &registry,
                "probes_total",
                "Questions to targets for their health and load",
            )?,
            probe_budget: probe_budget(&registry)?,
            gauges: Gauges::new(&registry)?,
            registry,
        })
    }

    /// Counts a call that got its target's answer, and its time to the answer's head.
    pub(crate) fn record_response(&self, service: &ServiceName, took: Duration) {
        self.calls
            .with_label_values(&[service.as_str(), ANSWERED])
            .inc();
        self.call_seconds.observe(took.as_secs_f64());
    }

    /// Counts a call that ended with an error kind; `service` is empty when none was found.
    pub(crate) fn record_error(&self, service: &str, kind: ErrorKind) {
        self.calls.with_label_values(&[service, kind.name()]).inc();
    }

    /// Records how long a call waited for its permit.
    pub(crate) fn record_permit_wait(&self, wait: Duration) {
        self.permit_wait_seconds.observe(wait.as_secs_f64());
    }

    /// The page in the Prometheus text form.
    pub(crate) fn render(&self, tables: &Tables, store: StoreCalls) -> String {
        self.gauges.read(tables);
        self.read_store(store);
        let mut buf = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            tracing::warn!(%err, "metrics page incomplete");
        }
        String::from_utf8_lossy(&buf).into_owned()
    }
}

impl Metrics {
    fn read_store(&self, store: StoreCalls) {
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
                .set(signed(count));
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
                "Permits granted and not had back",
            )?,
            waiting: gauge(registry, "calls_waiting", "Calls that wait for a slot")?,
            lease_left_ms: gauge(
                registry,
                "lease_left_ms",
                "Time until this instance's lease ends by its own clock",
            )?,
        })
    }

    fn read(&self, tables: &Tables) {
        self.revision.set(signed(tables.config().revision.0));
        self.members
            .set(signed(tables.directory().members.len() as u64));
        let left = tables.lease().valid_until().since(tables.clock.now());
        self.lease_left_ms
            .set(i64::try_from(left.as_millis()).unwrap_or(i64::MAX));
        let shards = tables.owned_shards();
        self.owned_shards.set(signed(shards.len() as u64));
        let (mut in_flight, mut waiting) = (0, 0);
        for (_, owned) in shards {
            owned.with(|shard| {
                in_flight += shard.outstanding().len() as u64;
                waiting += shard.waiting() as u64;
            });
        }
        self.in_flight.set(signed(in_flight));
        self.waiting.set(signed(waiting));
    }
}

fn signed(value: u64) -> i64 {
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
    let gauge = Gauge::new(
        "probe_budget",
        "Questions for health and load that this instance may ask at once",
    )?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}
