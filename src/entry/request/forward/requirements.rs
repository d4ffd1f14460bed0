//! What a request requires of a target.

use std::time::{Duration, Instant};

use super::Call;
use crate::entry::stop::RunTime;
use crate::entry::target::placement::Requirements;

/// Fraction of the latency objective that is assumed as service time until one is
/// known.
const DEFAULT_SERVICE_TIME_FRACTION: f64 = 0.35;

impl Call<'_> {
    pub(super) fn service_time(&self) -> Duration {
        let route = &self.admitted.route;
        let service_time = self.shared.state().service_times.get(&route.name);
        service_time.unwrap_or_else(|| route.objective.mul_f64(DEFAULT_SERVICE_TIME_FRACTION))
    }

    /// Time that the request may take at a target.
    pub(super) fn run_time(&self) -> RunTime {
        RunTime {
            deadline_left: self.deadline.saturating_duration_since(Instant::now()),
            usual: self.service_time(),
        }
    }

    pub(super) fn requirements(&self, service_time: Duration) -> Requirements {
        let state = self.shared.state();
        // The crash of a target is found only after the calls on it have broken off.
        let suspicion = state.suspicion(self.fingerprints);
        Requirements {
            suspicion: suspicion.max(self.history.lost.min(1)),
            service_time,
            deadline_left: self.deadline.saturating_duration_since(Instant::now()),
            slot_share: 1.0 / state.instances(),
        }
    }

    /// Time left to the latency objective of its route.
    pub(super) fn objective_left(&self) -> Duration {
        let elapsed = self.outbound.started.elapsed();
        self.admitted.route.objective.saturating_sub(elapsed)
    }
}
