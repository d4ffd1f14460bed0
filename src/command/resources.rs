//! The commands that declare, show, watch and delete resources.

use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use http::Method;
use serde::Deserialize;
use serde_json::Value;

use super::client::Client;
use crate::cli::Output;
use crate::error::Error;
use crate::output;
use crate::resource::{Resource, ResourceSet, Revision};
use crate::server::{AddressesResponse, ApplyReq, ApplyResp};

/// Declares the resources read from files.
pub(super) fn apply(
    client: &Client,
    files: &[PathBuf],
    expected: Option<u64>,
    dry_run: bool,
) -> Result<(), Error> {
    let mut resources = Vec::new();
    for path in files {
        resources.extend(read_resources(path)?);
    }
    let count = resources.len();
    let change = ApplyReq {
        expected: expected.map(Revision),
        dry_run,
        resources,
    };
    let body = serde_json::to_string(&change).map_err(|err| Error::Start(err.to_string()))?;
    let accepted: ApplyResp = client.request_json(Method::POST, "/v1/resources", &body)?;
    for warning in &accepted.warnings {
        output::warning(warning);
    }
    if dry_run {
        output::success(&format!(
            "{count} resource(s) would be accepted; nothing was changed"
        ));
    } else {
        output::success(&format!(
            "{count} resource(s) accepted as revision {}",
            accepted.revision
        ));
    }
    Ok(())
}

/// Shows the declared resources.
pub(super) fn get(
    client: &Client,
    kind: Option<&str>,
    name: Option<&str>,
    format: Output,
) -> Result<(), Error> {
    if let (Some(kind), Some(name)) = (kind, name) {
        let path = format!("/v1/resources/{kind}/{name}");
        let resource: Value = client.request_json(Method::GET, &path, "")?;
        return output::json(&resource);
    }
    let mut set: ResourceSet = client.request_json(Method::GET, "/v1/resources", "")?;
    set.resources
        .retain(|resource| kind.is_none_or(|kind| resource.kind() == kind));
    match format {
        Output::Json => output::json(&set),
        Output::Table => {
            output::heading(&format!("revision {}", set.revision));
            show_table(&set);
            Ok(())
        }
    }
}

fn show_table(set: &ResourceSet) {
    let rows = set.resources.iter().map(|resource| {
        [
            resource.kind().to_owned(),
            resource.name().to_owned(),
            summary(resource),
        ]
    });
    output::table(["KIND", "NAME", "DECLARED"], rows);
}

/// Summarizes a resource in one table cell.
fn summary(resource: &Resource) -> String {
    match resource {
        Resource::Service(service) => format!(
            "{}; {} slots a target; {}",
            service.spec.hosts.join(", "),
            service.spec.target.slots,
            service.spec.priority,
        ),
        Resource::AvailabilityZone(zone) if zone.spec.in_service => "in service".to_owned(),
        Resource::AvailabilityZone(_) => "taken out".to_owned(),
        Resource::Priority(priority) => format!("rank {}", priority.spec.rank.0),
        Resource::Caller(caller) => {
            let limit =
                |limit: Option<u32>, unit: &str| limit.map(|limit| format!("{limit} {unit}"));
            let limits = [
                limit(caller.spec.calls_per_second, "calls/s"),
                limit(caller.spec.in_flight, "in flight"),
            ];
            let limits: Vec<_> = limits.into_iter().flatten().collect();
            if limits.is_empty() {
                "no limit".to_owned()
            } else {
                limits.join(", ")
            }
        }
    }
}

/// Response to a watch request.
#[derive(Debug, Deserialize, serde::Serialize)]
struct Change {
    revision: Revision,
    #[serde(default)]
    changed: Vec<Value>,
    #[serde(default)]
    deleted: Vec<Value>,
}

/// Shows each change as it comes into force, until interrupted.
pub(super) fn watch(client: &Client, from: Option<u64>, format: Output) -> Result<(), Error> {
    let mut revision = match from {
        Some(revision) => revision,
        None => {
            client
                .request_json::<ResourceSet>(Method::GET, "/v1/resources", "")?
                .revision
                .0
        }
    };
    loop {
        let change: Change =
            client.request_json(Method::GET, &format!("/v1/watch?from={revision}"), "")?;
        if change.revision.0 <= revision {
            continue;
        }
        revision = change.revision.0;
        match format {
            Output::Json => output::json(&change)?,
            Output::Table => show_change(&change),
        }
    }
}

fn show_change(change: &Change) {
    output::heading(&format!("revision {}", change.revision));
    let named = |what: &str, resource: &Value| {
        let text = |field: &str| resource[field].as_str().unwrap_or_default().to_owned();
        output::line(&format!("  {what} {}/{}", text("kind"), text("name")));
    };
    change
        .changed
        .iter()
        .for_each(|resource| named("changed", resource));
    change
        .deleted
        .iter()
        .for_each(|resource| named("deleted", resource));
}

/// Deletes a resource.
pub(super) fn delete(
    client: &Client,
    kind: &str,
    name: &str,
    expected: Option<u64>,
) -> Result<(), Error> {
    let query = expected
        .map(|revision| format!("?expected={revision}"))
        .unwrap_or_default();
    let path = format!("/v1/resources/{kind}/{name}{query}");
    let accepted: ApplyResp = client.request_json(Method::DELETE, &path, "")?;
    output::success(&format!(
        "{kind}/{name} deleted as revision {}",
        accepted.revision
    ));
    Ok(())
}

/// Shows the addresses that a caller of a service may use.
pub(super) fn addresses(
    callers: SocketAddr,
    service: &str,
    zone: Option<&str>,
    format: Output,
) -> Result<(), Error> {
    let zone = zone.map(|zone| format!("&zone={zone}")).unwrap_or_default();
    let path = format!("/v1/addresses?service={service}{zone}");
    let response: AddressesResponse =
        Client::with_key(callers, None)?.request_json(Method::GET, &path, "")?;
    if format == Output::Json {
        return output::json(&response);
    }
    let rows = response.addresses.iter().map(|address| {
        [
            address.callers.to_string(),
            address.instance.to_string(),
            address.zone.to_string(),
            if address.owner { "yes" } else { "no" }.to_owned(),
        ]
    });
    output::table(["ADDRESS", "INSTANCE", "ZONE", "OWNER"], rows);
    output::line(&format!("keep this answer for {} ms", response.keep_ms));
    Ok(())
}

fn read_resources(path: &Path) -> Result<Vec<Resource>, Error> {
    let text = read_file(path)?;
    let origin = path.display().to_string();
    let mut resources = Vec::new();
    let mut problems = Vec::new();
    for (number, value) in serde_json::Deserializer::from_str(&text)
        .into_iter::<Value>()
        .enumerate()
    {
        match value {
            Ok(Value::Array(values)) => {
                for (index, value) in values.into_iter().enumerate() {
                    parse_resource(&format!("[{index}]"), value, &mut resources, &mut problems);
                }
            }
            Ok(value) => parse_resource(
                &format!("object {number}"),
                value,
                &mut resources,
                &mut problems,
            ),
            Err(err) => problems.push(format!("not JSON: {err}")),
        }
    }
    if problems.is_empty() {
        return Ok(resources);
    }
    Err(Error::Invalid { origin, problems })
}

fn parse_resource(
    position: &str,
    value: Value,
    resources: &mut Vec<Resource>,
    problems: &mut Vec<String>,
) {
    match serde_path_to_error::deserialize(value) {
        Ok(resource) => resources.push(resource),
        Err(err) => problems.push(format!("{position}: {}", err.inner())),
    }
}

fn read_file(path: &Path) -> Result<String, Error> {
    let mut text = String::new();
    let read = if path == Path::new("-") {
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(path)
    };
    read.map_err(|source| Error::ReadFile {
        path: path.to_owned(),
        source,
    })
}
