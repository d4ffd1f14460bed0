//! Decides when a request whose body still arrives may take a target.
//!
//! Callers upload files over links of any speed. A target's slot is taken when the first
//! byte is sent to it, so a slow caller would hold a slot that its request doesn't use
//! yet, while a fast one would wait for its whole body without need. A body that is held
//! whole can also be sent to another target.

use std::time::Duration;

use crate::entry::request::fingerprint::FINGERPRINT_BYTES;
use crate::http1::request_body::Arrival;

/// Parameters of the decision.
#[derive(Debug, Clone, PartialEq)]
pub struct UploadSettings {
    /// Maximum expected time from taking a target until the rest of the body has arrived.
    pub max_slot_lead: Duration,
    /// Time in which a body is assumed to have started to arrive: the first bytes come
    /// with the head and say nothing of the rate.
    pub min_elapsed: Duration,
}

impl Default for UploadSettings {
    fn default() -> Self {
        Self {
            max_slot_lead: Duration::from_millis(50),
            min_elapsed: Duration::from_millis(5),
        }
    }
}

/// Whether a request may take a target, `elapsed` after its first byte arrived.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "sizes of bodies")]
pub fn may_take_target(arrival: &Arrival, elapsed: Duration, settings: &UploadSettings) -> bool {
    if arrival.complete || arrival.full {
        return true;
    }
    let Some(declared) = arrival.declared else {
        return false;
    };
    if arrival.received < FINGERPRINT_BYTES {
        return false;
    }
    let rest = declared.saturating_sub(arrival.received) as f64;
    let elapsed = elapsed.max(settings.min_elapsed).as_secs_f64();
    let rest_seconds = rest * elapsed / arrival.received as f64;
    rest_seconds <= settings.max_slot_lead.as_secs_f64()
}

#[cfg(test)]
mod tests;
