//! What a request requires of a target.

use std::time::{Duration, Instant};

use super::Call;
use crate::entry::target::placement::Requirements;

impl Call<'_> {
    /// Time that requests of its route usually take at a target; `None` until it is known.
    pub(super) fn service_time(&self) -> Option<Duration> {
        let route = &self.admitted.route;
        self.shared.state().service_times.get(&route.name)
    }

    pub(super) fn requirements(&self) -> Requirements {
        let service_time = self.service_time().unwrap_or_default();
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
