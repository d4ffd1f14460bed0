//! Decodes the orders of roll-outs, and encodes and decodes the decisions on them.

use serde::{Deserialize, Serialize};

use super::{ROLLOUT_DECISION_PREFIX, check_length, duration_from_millis, parse_json};
use crate::names::ServiceName;
use crate::rollout::{RolloutDecision, RolloutOrder, Stage};

/// Prefix of the keys under which operators read the states of roll-outs.
const ROLLOUT_STATUS_PREFIX: &str = "status/rollout/";

#[derive(Deserialize)]
struct OrderValue {
    target_version: Box<str>,
    duration_s: f64,
}

pub(super) fn decode_order(service: &str, value: &[u8]) -> Result<RolloutOrder, String> {
    let wire: OrderValue = parse_json(value)?;
    if service.is_empty() || wire.target_version.is_empty() {
        return Err("the order names no service or target_version".into());
    }
    check_length("target_version", &wire.target_version)?;
    if wire.duration_s.is_nan() || wire.duration_s <= 0.0 {
        return Err("duration_s must be above 0".into());
    }
    Ok(RolloutOrder {
        service: service.into(),
        version: (&*wire.target_version).into(),
        duration: duration_from_millis(wire.duration_s * 1000.0),
    })
}

/// Format of the decisions that this release writes. One that it does not know is an error,
/// so that a decision of a later release is not taken for another one.
const DECISION_FORMAT: u32 = 1;

/// A decision as it is stored.
#[derive(Serialize, Deserialize)]
struct DecisionValue {
    format: u32,
    version: Box<str>,
    previous: Vec<Box<str>>,
    state: StateValue,
    /// Share of the new version while it is running, in percent.
    percent: u8,
    ordered_ms: u64,
}

/// State of a roll-out as operators read it.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StateValue {
    Running,
    Completed,
    RolledBack,
}

pub(super) fn decode_decision(service: &str, value: &[u8]) -> Result<RolloutDecision, String> {
    let wire: DecisionValue = parse_json(value)?;
    if wire.format != DECISION_FORMAT {
        return Err(format!("unknown format {}", wire.format));
    }
    for version in wire.previous.iter().chain([&wire.version]) {
        check_length("version", version)?;
    }
    let previous = wire.previous.iter();
    Ok(RolloutDecision {
        service: service.into(),
        version: (&*wire.version).into(),
        previous: previous.map(|version| (&**version).into()).collect(),
        stage: match wire.state {
            StateValue::Running => Stage::Running(wire.percent.min(100)),
            StateValue::Completed => Stage::Completed,
            StateValue::RolledBack => Stage::RolledBack,
        },
        ordered_ms: wire.ordered_ms,
    })
}

/// Whether a record that can't be decoded may be a valid one of a later release, which must
/// not be replaced.
pub(crate) fn is_of_later_release(key: &str, value: &[u8]) -> bool {
    #[derive(Deserialize)]
    struct Format {
        format: u32,
    }
    let format = serde_json::from_slice(value).map_or(0, |Format { format }| format);
    key.starts_with(ROLLOUT_DECISION_PREFIX) && format > DECISION_FORMAT
}

/// Key of the decision on a service's roll-out.
pub(crate) fn decision_key(service: &ServiceName) -> String {
    format!("{ROLLOUT_DECISION_PREFIX}{service}")
}

/// The records that a decision is written to, as keys and values: the decision itself,
/// whose revision is to be compared, and the state that operators read.
pub(crate) fn decision_records(decision: &RolloutDecision) -> [(String, Vec<u8>); 2] {
    let (state, percent) = match decision.stage {
        Stage::Running(percent) => (StateValue::Running, percent),
        Stage::Completed => (StateValue::Completed, 100),
        Stage::RolledBack => (StateValue::RolledBack, 0),
    };
    let previous = decision.previous.iter();
    let value = DecisionValue {
        format: DECISION_FORMAT,
        version: decision.version.as_str().into(),
        previous: previous.map(|version| version.as_str().into()).collect(),
        state,
        percent,
        ordered_ms: decision.ordered_ms,
    };
    let status = serde_json::json!({ "state": state, "target_version": decision.version });
    let service = &decision.service;
    [
        (
            decision_key(service),
            serde_json::to_vec(&value).unwrap_or_default(),
        ),
        (
            format!("{ROLLOUT_STATUS_PREFIX}{service}"),
            status.to_string().into_bytes(),
        ),
    ]
}
