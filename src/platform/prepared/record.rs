//! Decodes the records of the platform's store into the types of [`crate::entry::model`].

mod configuration;
mod rollout;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use self::configuration::decode_configuration;
pub(crate) use self::rollout::{decision_key, decision_records, is_of_later_release};
use self::rollout::{decode_decision, decode_order};
use crate::entry::model::{Record, Registration, Target};
use crate::names::ZoneName;

/// Key of the configuration.
pub(crate) const CONFIGURATION_KEY: &str = "op/config";
/// Prefix of the keys that name evacuated zones, which get no requests.
const EVACUATION_PREFIX: &str = "op/evacuate/";
/// Prefix of the keys of operators' roll-out orders; the rest is the service's name.
const ROLLOUT_ORDER_PREFIX: &str = "op/rollout/";
/// Prefix of the keys of this program's decisions on roll-outs.
const ROLLOUT_DECISION_PREFIX: &str = "rollouts/";
/// Prefix of the keys of targets; the rest is the target's id.
const TARGET_PREFIX: &str = "servers/";
/// Prefix of the keys under which entry instances register.
const INSTANCE_PREFIX: &str = "entries/";

/// Maximum size of a name in a record, in bytes: that of a key of the store.
const MAX_NAME_BYTES: usize = 200;
/// Maximum slots of a target, which needs a connection for each.
const MAX_SLOTS: u32 = 1 << 16;
/// Maximum duration in a record. A longer one is taken as this one, which can be added to
/// any time.
const MAX_DURATION: Duration = Duration::from_secs(365 * 24 * 3600);

/// Returns the key under which the instance at `address` registers.
pub(crate) fn registration_key(address: SocketAddr) -> String {
    format!("{INSTANCE_PREFIX}{address}")
}

/// Whether a key is that of the configuration. An invalid configuration does not replace
/// the one in force, while any other invalid record counts as removed.
pub(crate) fn is_configuration(key: &str) -> bool {
    key == CONFIGURATION_KEY
}

/// Encodes the value that an instance registers.
pub(crate) fn registration_value(registration: &Registration) -> Vec<u8> {
    let value = InstanceValue {
        address: registration.address,
        zone: registration.zone.as_str().into(),
    };
    serde_json::to_vec(&value).unwrap_or_default()
}

/// Decodes a record; `Ok(None)` for keys that entry instances don't use.
///
/// # Errors
/// Describes why the record is invalid, see [`is_configuration`] for what follows.
pub(crate) fn decode(key: &str, value: &[u8]) -> Result<Option<Record>, String> {
    if key == CONFIGURATION_KEY {
        return decode_configuration(value)
            .map(|configuration| Some(Record::Configuration(Arc::new(configuration))));
    }
    if let Some(zone) = key.strip_prefix(EVACUATION_PREFIX) {
        return Ok(Some(Record::Evacuation(ZoneName::from(zone))));
    }
    if let Some(id) = key.strip_prefix(TARGET_PREFIX) {
        return decode_target(id, value).map(|target| Some(Record::Target(target)));
    }
    if let Some(service) = key.strip_prefix(ROLLOUT_ORDER_PREFIX) {
        return decode_order(service, value).map(|order| Some(Record::RolloutOrder(order)));
    }
    if let Some(service) = key.strip_prefix(ROLLOUT_DECISION_PREFIX) {
        return decode_decision(service, value)
            .map(|decision| Some(Record::RolloutDecision(decision)));
    }
    if key.starts_with(INSTANCE_PREFIX) {
        let wire: InstanceValue = parse_json(value)?;
        check_address(wire.address)?;
        check_length("zone", &wire.zone)?;
        if key != registration_key(wire.address) {
            return Err(format!("it names another address, {}", wire.address));
        }
        return Ok(Some(Record::Instance(Registration {
            address: wire.address,
            zone: ZoneName::from(&*wire.zone),
        })));
    }
    Ok(None)
}

#[derive(Serialize, Deserialize)]
struct InstanceValue {
    address: SocketAddr,
    zone: Box<str>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum TargetState {
    Ready,
    Draining,
}

#[derive(Deserialize)]
struct TargetValue {
    service: Box<str>,
    address: SocketAddr,
    zone: Box<str>,
    slots: u32,
    state: TargetState,
    #[serde(default)]
    warmup_left_ms: f64,
    #[serde(default)]
    born: u64,
    #[serde(default)]
    version: Option<Box<str>>,
}

fn decode_target(id: &str, value: &[u8]) -> Result<Target, String> {
    let wire: TargetValue = parse_json(value)?;
    if id.is_empty() || wire.service.is_empty() || wire.slots == 0 {
        return Err("the target has no id, service or slots".into());
    }
    if wire.slots > MAX_SLOTS {
        return Err(format!("slots must be at most {MAX_SLOTS}"));
    }
    check_address(wire.address)?;
    check_length("service", &wire.service)?;
    check_length("zone", &wire.zone)?;
    check_length("version", wire.version.as_deref().unwrap_or_default())?;
    // It is written into the head of each request.
    if !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err("the id has characters that a header can't have".into());
    }
    Ok(Target {
        id: id.into(),
        service: (&*wire.service).into(),
        address: wire.address,
        zone: (&*wire.zone).into(),
        slots: wire.slots,
        leaving: matches!(wire.state, TargetState::Draining),
        cold_for: duration_from_millis(wire.warmup_left_ms),
        started_ms: wire.born,
        version: wire.version.as_deref().map(Into::into),
    })
}

/// Checks that a name is short enough for messages between instances.
fn check_length(what: &str, name: &str) -> Result<(), String> {
    if name.len() > MAX_NAME_BYTES {
        return Err(format!("{what} must have at most {MAX_NAME_BYTES} bytes"));
    }
    Ok(())
}

/// Checks that a machine can listen on an address.
fn check_address(address: SocketAddr) -> Result<(), String> {
    let ip = address.ip();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() || is_broadcast {
        return Err(format!("no machine listens on {address}"));
    }
    Ok(())
}

fn duration_from_millis(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0) / 1000.0)
        .unwrap_or(MAX_DURATION)
        .min(MAX_DURATION)
}

fn parse_json<T: DeserializeOwned>(value: &[u8]) -> Result<T, String> {
    serde_json::from_slice(value).map_err(|err| err.to_string())
}

#[cfg(test)]
mod tests;
