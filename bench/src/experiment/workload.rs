//! Workloads of the experiments, scaled to the targets' slots.

use std::time::Duration;

use super::Run;
use crate::deployment::{Deployment, host};
use crate::load::{Class, ClosedLoop, Plan, Stream};
use crate::testbed::Testbed;

/// Offered load of urgent calls, as a share of the first service's capacity.
pub(crate) const URGENT_SHARE: f64 = 0.1;
/// Offered load of orders, as a share of the second service's capacity.
const ORDER_SHARE: f64 = 0.5;
/// Time that a target works on a call of each class, in microseconds.
const URGENT_WORK_US: u64 = 20_000;
const ORDER_WORK_US: u64 = 30_000;
const NORMAL_WORK_US: u64 = 60_000;
const BULKY_WORK_US: u64 = 100_000;
/// Sizes of response bodies, in bytes.
const SHORT_BYTES: u64 = 200;
const BULKY_BYTES: u64 = 64 << 10;
/// Retries without backoff of a refused call that is not urgent.
const IMMEDIATE_RETRIES: u32 = 2;
/// Closed-loop callers that fetch reports.
const REPORT_CALLERS: usize = 8;

/// Stream that offers the share `of_capacity` of a service's capacity.
pub(crate) fn stream(
    deployment: &Deployment,
    class: Class,
    service: usize,
    of_capacity: f64,
) -> Stream {
    let (work_us, bytes) = match class {
        Class::Urgent => (URGENT_WORK_US, SHORT_BYTES),
        Class::Order => (ORDER_WORK_US, SHORT_BYTES),
        Class::Normal => (NORMAL_WORK_US, SHORT_BYTES),
        Class::Bulky => (BULKY_WORK_US, BULKY_BYTES),
    };
    let work = Duration::from_micros(work_us).as_secs_f64();
    Stream {
        class,
        service,
        host: host(deployment.services[service].name),
        rate: f64::from(deployment.service_slots(service)) * of_capacity / work,
        work_us,
        bytes,
        retries: if class == Class::Urgent {
            0
        } else {
            IMMEDIATE_RETRIES
        },
    }
}

/// Urgent calls only.
pub(crate) fn urgent(deployment: &Deployment) -> Vec<Stream> {
    vec![stream(deployment, Class::Urgent, 0, URGENT_SHARE)]
}

/// Urgent calls, orders, and other calls that offer the share `other` of the capacity of
/// the first and of the third service.
pub(crate) fn mixed(deployment: &Deployment, other: f64) -> Vec<Stream> {
    let mut streams = urgent(deployment);
    streams.push(stream(deployment, Class::Normal, 0, other * 0.8));
    streams.push(stream(deployment, Class::Bulky, 0, other * 0.2));
    streams.push(stream(deployment, Class::Order, 1, ORDER_SHARE));
    streams.push(stream(deployment, Class::Bulky, 2, other));
    streams
}

/// Closed-loop callers that fetch reports.
pub(crate) fn report_loops(deployment: &Deployment) -> Vec<ClosedLoop> {
    vec![ClosedLoop {
        stream: Stream {
            retries: 0,
            ..stream(deployment, Class::Bulky, 2, 0.0)
        },
        callers: REPORT_CALLERS,
    }]
}

/// Plan for `streams` with the routes and delays of a testbed.
pub(crate) fn plan(run: &Run, testbed: &Testbed, streams: Vec<Stream>) -> Plan {
    Plan {
        seed: run.seed,
        streams,
        client_delay: Duration::from_micros(testbed.options.deployment.client_us),
        routes: testbed.routes.clone(),
        ..Plan::default()
    }
}
