//! Decodes the records of the platform's store into the types of [`crate::entry::model`].

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::entry::model::{
    CallerLimits, Configuration, Record, Registration, RetrySafety, Route, ServiceLimits, Target,
    UnknownKind, WeightedService,
};
use crate::names::{ServiceName, ZoneName};
use crate::platform::prepared::accounts::convert_accounts;
use crate::rollout::{RolloutDecision, RolloutOrder, Stage};

/// Key of the configuration.
pub(crate) const CONFIGURATION_KEY: &str = "op/config";
/// Prefix of the keys that name evacuated zones, which get no requests.
const EVACUATION_PREFIX: &str = "op/evacuate/";
/// Prefix of the keys of operators' roll-out orders; the rest is the service's name.
const ROLLOUT_ORDER_PREFIX: &str = "op/rollout/";
/// Prefix of the keys of this program's decisions on roll-outs.
const ROLLOUT_DECISION_PREFIX: &str = "rollouts/";
/// Prefix of the keys under which operators read the states of roll-outs.
const ROLLOUT_STATUS_PREFIX: &str = "status/rollout/";
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

#[derive(Deserialize)]
struct OrderValue {
    target_version: Box<str>,
    duration_s: f64,
}

fn decode_order(service: &str, value: &[u8]) -> Result<RolloutOrder, String> {
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

fn decode_decision(service: &str, value: &[u8]) -> Result<RolloutDecision, String> {
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

/// Rows of JSON values whose field names are stated once, in `columns`.
#[derive(Deserialize)]
struct Table {
    columns: Vec<String>,
    rows: Vec<Vec<Value>>,
}

impl Table {
    /// Decodes each row as an object of its non-null fields; unknown fields are ignored.
    ///
    /// # Errors
    /// Names the first invalid row.
    fn decode<T: DeserializeOwned>(self, what: &str) -> Result<Vec<T>, String> {
        let columns = self.columns;
        let decode_row = |(number, row): (usize, Vec<Value>)| {
            let object: Map<String, Value> = columns
                .iter()
                .cloned()
                .zip(row)
                .filter(|(_, value)| !value.is_null())
                .collect();
            let name = object.get("name").map(ToString::to_string);
            serde_json::from_value(Value::Object(object)).map_err(|err| {
                let name = name.unwrap_or_else(|| format!("in row {number}"));
                format!("{what} {name}: {err}")
            })
        };
        self.rows.into_iter().enumerate().map(decode_row).collect()
    }
}

#[derive(Deserialize)]
struct ConfigurationValue {
    version: String,
    routes: Table,
    services: Table,
    #[serde(default)]
    limits: Option<LimitsValue>,
    #[serde(default)]
    tenants: Option<Table>,
}

#[derive(Deserialize)]
struct LimitsValue {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
}

/// Kind of a route's requests; it determines whether they may be repeated.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RouteType {
    Safe,
    Unsafe,
    /// Requests with large responses, which may be repeated.
    Download,
    /// Requests with large bodies, which may run at most once.
    Upload,
    /// A kind of a later release. The platform's store accepts only kinds that it knows,
    /// so the route is served, and its requests run at most once.
    #[serde(untagged)]
    Unknown(Arc<str>),
}

#[derive(Deserialize)]
struct WeightedServiceValue {
    service: Box<str>,
    weight: f64,
}

#[derive(Deserialize)]
struct RouteValue {
    name: Arc<str>,
    host: Arc<str>,
    prefix: Arc<str>,
    #[serde(rename = "type")]
    route_type: RouteType,
    timeout_ms: f64,
    #[serde(default)]
    target_latency_ms: Option<f64>,
    #[serde(default)]
    priority: u32,
    #[serde(default)]
    max_attempts: Option<u32>,
    #[serde(default)]
    service: Option<Box<str>>,
    #[serde(default)]
    traffic_split: Option<Vec<WeightedServiceValue>>,
    #[serde(default)]
    public: bool,
}

#[derive(Deserialize)]
struct ServiceValue {
    name: Box<str>,
    health_path: Arc<str>,
    #[serde(default)]
    max_connections: Option<u32>,
    #[serde(default)]
    warmup_per_s: Option<f64>,
}

fn decode_configuration(value: &[u8]) -> Result<Configuration, String> {
    let wire: ConfigurationValue = parse_json(value)?;
    let bounds = wire
        .limits
        .map_or_else(CallerLimits::default, |limits| CallerLimits {
            head_bytes: limits.max_header_bytes,
            body_bytes: limits.max_body_bytes,
            head_time: duration_from_millis(limits.header_timeout_ms),
            idle_time: duration_from_millis(limits.idle_timeout_ms),
        });
    let services = wire.services.decode::<ServiceValue>("service")?;
    let services: IndexMap<ServiceName, ServiceLimits> =
        services.into_iter().map(convert_service).collect();
    let routes = wire.routes.decode::<RouteValue>("route")?;
    let unknown_kinds = routes.iter().filter_map(unknown_kind).collect();
    let convert = |route: RouteValue| {
        let name = route.name.clone();
        convert_route(route, &services).map_err(|problem| format!("route {name}: {problem}"))
    };
    let accounts = match wire.tenants {
        Some(table) => convert_accounts(&table.decode("tenant")?)?,
        None => Vec::new(),
    };
    Ok(Configuration {
        version: parse_version(&wire.version)?,
        routes: routes.into_iter().map(convert).collect::<Result<_, _>>()?,
        services,
        bounds,
        unknown_kinds,
        accounts: Some(accounts),
    })
}

fn unknown_kind(route: &RouteValue) -> Option<UnknownKind> {
    let RouteType::Unknown(kind) = &route.route_type else {
        return None;
    };
    Some(UnknownKind {
        route: route.name.clone(),
        kind: kind.clone(),
    })
}

fn convert_service(wire: ServiceValue) -> (ServiceName, ServiceLimits) {
    let limits = ServiceLimits {
        health_path: wire.health_path,
        max_connections: wire.max_connections.unwrap_or(u32::MAX),
        cold_rate: wire.warmup_per_s.unwrap_or(f64::INFINITY),
    };
    ((&*wire.name).into(), limits)
}

fn convert_route(
    wire: RouteValue,
    services: &IndexMap<ServiceName, ServiceLimits>,
) -> Result<Route, String> {
    if wire.timeout_ms.is_nan() || wire.timeout_ms <= 0.0 {
        return Err("timeout_ms must be above 0".into());
    }
    if wire.max_attempts == Some(0) {
        return Err("max_attempts must be at least 1".into());
    }
    let parts = convert_parts(wire.traffic_split.unwrap_or_default(), wire.service)?;
    let unknown = |part: &&WeightedService| !services.contains_key(&part.service);
    if let Some(part) = parts.iter().find(unknown) {
        return Err(format!("the service {} is not defined", part.service));
    }
    let timeout = duration_from_millis(wire.timeout_ms);
    Ok(Route {
        name: wire.name,
        host: wire.host,
        prefix: wire.prefix,
        retry_safety: match wire.route_type {
            RouteType::Safe | RouteType::Download => RetrySafety::Safe,
            RouteType::Unsafe | RouteType::Upload | RouteType::Unknown(_) => RetrySafety::Never,
        },
        timeout,
        objective: wire.target_latency_ms.map_or(timeout, duration_from_millis),
        priority: wire.priority,
        max_attempts: wire.max_attempts.unwrap_or(1),
        parts,
        public: wire.public,
    })
}

/// The services that share a route's requests; at least one.
fn convert_parts(
    split: Vec<WeightedServiceValue>,
    service: Option<Box<str>>,
) -> Result<Vec<WeightedService>, String> {
    if split
        .iter()
        .any(|part| !(part.weight >= 0.0 && part.weight.is_finite()))
    {
        return Err("a weight must be a number that is not negative".into());
    }
    let is_split = !split.is_empty();
    let weighted = split.into_iter().filter(|part| part.weight > 0.0);
    let mut parts: Vec<WeightedService> = weighted
        .map(|part| WeightedService {
            service: (&*part.service).into(),
            weight: part.weight,
        })
        .collect();
    if parts.is_empty() {
        parts.extend(service.map(|service| WeightedService {
            service: (&*service).into(),
            weight: 1.0,
        }));
    }
    match (parts.is_empty(), is_split) {
        (false, _) => Ok(parts),
        (true, true) => Err("one of the weights must be above 0".into()),
        (true, false) => Err("it names no service".into()),
    }
}

/// Parses a version: the letter `r` and a number.
fn parse_version(text: &str) -> Result<u64, String> {
    text.strip_prefix('r')
        .and_then(|digits| digits.parse().ok())
        .ok_or_else(|| format!("invalid version `{text}`"))
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
