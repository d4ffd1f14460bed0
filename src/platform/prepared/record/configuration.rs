//! Decodes the configuration.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::{duration_from_millis, parse_json};
use crate::entry::model::{
    CallerLimits, Configuration, RetrySafety, Route, ServiceLimits, UnknownKind, WeightedService,
};
use crate::names::ServiceName;
use crate::platform::prepared::accounts::convert_accounts;

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

pub(super) fn decode_configuration(value: &[u8]) -> Result<Configuration, String> {
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
