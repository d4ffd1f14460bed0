//! The load that the experiments offer, in proportion to the targets' slots.

use std::time::Duration;

use super::Run;
use crate::deployment::{Deployment, host};
use crate::load::{Class, ClosedLoop, Plan, Stream};
use crate::testbed::Testbed;

/// Share of the urgent service's capacity that urgent calls take.
pub(crate) const URGENT_SHARE: f64 = 0.1;
/// Share of the orders' capacity that orders take.
const ORDER_SHARE: f64 = 0.5;
/// Time that calls work, in microseconds.
const URGENT_WORK_US: u64 = 20_000;
const ORDER_WORK_US: u64 = 30_000;
const NORMAL_WORK_US: u64 = 60_000;
const BULKY_WORK_US: u64 = 100_000;
/// Length of answers, in bytes.
const SHORT_BYTES: u64 = 200;
const BULKY_BYTES: u64 = 64 << 10;
/// Times that a refused call is sent again at once.
const IMMEDIATE_RETRIES: u32 = 2;
/// Callers that ask for reports in a tight loop.
const REPORT_CALLERS: usize = 8;

/// A stream that takes a part `of_capacity` of the capacity of a service.
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

/// Urgent calls alone.
pub(crate) fn urgent(deployment: &Deployment) -> Vec<Stream> {
    vec![stream(deployment, Class::Urgent, 0, URGENT_SHARE)]
}

/// Urgent calls and orders, and other work that offers `other` of the capacity.
pub(crate) fn mixed(deployment: &Deployment, other: f64) -> Vec<Stream> {
    let mut streams = urgent(deployment);
    streams.push(stream(deployment, Class::Normal, 0, other * 0.8));
    streams.push(stream(deployment, Class::Bulky, 0, other * 0.2));
    streams.push(stream(deployment, Class::Order, 1, ORDER_SHARE));
    streams.push(stream(deployment, Class::Bulky, 2, other));
    streams
}

/// Callers that ask for reports in a tight loop.
pub(crate) fn report_loops(deployment: &Deployment) -> Vec<ClosedLoop> {
    vec![ClosedLoop {
        stream: Stream {
            retries: 0,
            ..stream(deployment, Class::Bulky, 2, 0.0)
        },
        callers: REPORT_CALLERS,
    }]
}

/// A plan for the callers of a world.
pub(crate) fn plan(run: &Run, testbed: &Testbed, streams: Vec<Stream>) -> Plan {
    Plan {
        seed: run.seed,
        streams,
        client_delay: Duration::from_micros(testbed.options.deployment.client_us),
        routes: testbed.routes.clone(),
        ..Plan::default()
    }
}
