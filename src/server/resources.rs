//! HTTP interface to the resources: list, show, apply, delete, watch.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use http::{Method, StatusCode};
use serde::Serialize;

use super::operators::{ApplyReq, ApplyResp, OperatorReq, OperatorResp, parse, read_body};
use super::response;
use super::status::{self, Status};
use crate::config::change::{self, ChangeError, ChangeRequest, Difference, Edit};
use crate::config::peers::{self, ManifestReq, ManifestResp};
use crate::dispatch::kind::ErrorKind;
use crate::instance::Instance;
use crate::resource::{Resource, ResourceSet, Revision};

/// Path of the resources.
const RESOURCES_PATH: &str = "/v1/resources";
/// Path of the watch.
const WATCH_PATH: &str = "/v1/watch";
/// Maximum wait of a watch, after which it responds without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// Response to a list request: the resources of one kind.
#[derive(Serialize)]
struct Listing<'a> {
    revision: Revision,
    resources: Vec<&'a Resource>,
}

/// Response to a show request: one resource and its status.
#[derive(Serialize)]
struct ResourceWithStatus<'a> {
    #[serde(flatten)]
    resource: &'a Resource,
    status: Status,
}

/// Response to a watch: the differences between two revisions.
#[derive(Serialize)]
struct Changes {
    revision: Revision,
    /// Whether `changed` holds all resources, as the requested revision is no longer
    /// known.
    complete: bool,
    changed: Vec<Resource>,
    deleted: Vec<ResourceId>,
}

/// Kind and name of a resource.
#[derive(Serialize)]
struct ResourceId {
    kind: String,
    name: String,
}

/// Response to a change that was based on an outdated revision.
#[derive(Serialize)]
struct Conflict {
    title: &'static str,
    status: u16,
    detail: String,
    current: Revision,
    difference: Vec<Difference>,
}

/// Response to the deletion of a resource that others refer to.
#[derive(Serialize)]
struct InUse {
    title: &'static str,
    status: u16,
    detail: String,
    users: Vec<String>,
}

/// Response to a change whose outcome in the store is unknown.
#[derive(Serialize)]
struct OutcomeUnknown {
    title: &'static str,
    status: u16,
    detail: String,
    operation: String,
}

/// Whether the path of a request belongs to the resources.
pub(super) fn matches(req: &OperatorReq) -> bool {
    let path = req.uri().path();
    let is_below = |rest: &str| rest.is_empty() || rest.starts_with('/');
    path == WATCH_PATH || path.strip_prefix(RESOURCES_PATH).is_some_and(is_below)
}

/// Handles one request for resources.
pub(super) async fn handle(
    instance: &Arc<Instance>,
    req: OperatorReq,
) -> Result<OperatorResp, ErrorKind> {
    let path = req.uri().path().to_owned();
    let rest = path.strip_prefix(RESOURCES_PATH).unwrap_or_default();
    let segments: Vec<&str> = rest
        .split('/')
        .filter(|segment| !segment.is_empty())
        .collect();
    match (req.method(), segments.as_slice()) {
        (&Method::GET, []) if path == WATCH_PATH => Ok(watch(instance, &req).await?),
        (&Method::GET, []) => Ok(response::json(&*instance.tables.config())),
        (&Method::POST, []) if path != WATCH_PATH => apply(instance, req).await,
        (&Method::GET, [kind]) => Ok(list(instance, kind)),
        (&Method::GET, [kind, name]) => Ok(show(instance, kind, name).await),
        (&Method::DELETE, [kind, name]) => {
            let expected = query_number(&req, "expected")?.map(Revision);
            Ok(delete(instance, kind, name, expected).await)
        }
        _ => Err(ErrorKind::BadRequest),
    }
}

fn list(instance: &Instance, kind: &str) -> OperatorResp {
    let set = instance.tables.config();
    let resources = set.resources.iter().filter(|found| found.kind() == kind);
    response::json(&Listing {
        revision: set.revision,
        resources: resources.collect(),
    })
}

async fn show(instance: &Instance, kind: &str, name: &str) -> OperatorResp {
    let set = instance.tables.config();
    let Some(resource) = set.find(kind, name) else {
        return not_found(kind, name);
    };
    let revisions = member_revisions(instance).await;
    response::json(&ResourceWithStatus {
        resource,
        status: status::build(resource, &set, &revisions),
    })
}

/// Returns the revision in force on each member, `None` for those that did not
/// respond. A manifest request above the largest revision returns only the revision.
async fn member_revisions(instance: &Instance) -> Vec<Option<Revision>> {
    let msg = ManifestReq {
        above: Revision(u64::MAX),
    };
    let addresses = peers::peer_addresses(instance);
    let requests = addresses
        .iter()
        .map(|address| peers::call::<ManifestResp>(instance, *address, "config_manifest", &msg));
    let mut responses: Vec<_> = join_all(requests).await;
    let own = instance.config.revision();
    let others = responses.drain(..).map(|response| Some(response?.revision));
    std::iter::once(Some(own)).chain(others).collect()
}

async fn apply(instance: &Arc<Instance>, req: OperatorReq) -> Result<OperatorResp, ErrorKind> {
    let (_, ext) = req.into_parts();
    let body = read_body(response::take_body(ext)).await?;
    let change: ApplyReq = match parse(&body) {
        Ok(change) => change,
        Err(problem) => return Ok(response::error_with_detail(ErrorKind::BadRequest, &problem)),
    };
    let req = ChangeRequest {
        expected: change.expected,
        dry_run: change.dry_run,
        edits: change.resources.into_iter().map(Edit::Put).collect(),
    };
    Ok(make_change(instance, req).await)
}

async fn delete(
    instance: &Arc<Instance>,
    kind: &str,
    name: &str,
    expected: Option<Revision>,
) -> OperatorResp {
    let edit = Edit::Delete {
        kind: kind.to_owned(),
        name: name.to_owned(),
    };
    let req = ChangeRequest {
        expected,
        dry_run: false,
        edits: vec![edit],
    };
    make_change(instance, req).await
}

/// Makes a change on its own task, so that a client that disconnects does not
/// interrupt the write.
async fn make_change(instance: &Arc<Instance>, req: ChangeRequest) -> OperatorResp {
    let cx = Arc::clone(instance);
    let result = instance
        .rt
        .spawn(async move { change::apply(&cx, &req).await })
        .await;
    match result {
        Ok(Ok(accepted)) => response::json(&ApplyResp {
            revision: accepted.revision,
            warnings: accepted.warnings,
        }),
        Ok(Err(err)) => change_error(err),
        Err(_) => response::error(ErrorKind::Unavailable),
    }
}

fn change_error(err: ChangeError) -> OperatorResp {
    match err {
        ChangeError::Conflict {
            current,
            difference,
        } => conflict(current, difference),
        ChangeError::Invalid(problems) => {
            response::error_with_detail(ErrorKind::BadRequest, &problems.join("\n"))
        }
        ChangeError::NotFound => {
            response::text(StatusCode::NOT_FOUND, "it is not declared\n".to_owned())
        }
        ChangeError::InUse(users) => {
            let status = StatusCode::CONFLICT;
            let body = InUse {
                title: "in_use",
                status: status.as_u16(),
                detail: format!("it is in use by {}", users.join(", ")),
                users,
            };
            response::json_with_status(status, &body)
        }
        ChangeError::Unavailable(reason) => {
            let detail = format!("nothing was changed: {reason}");
            response::error_with_detail(ErrorKind::Unavailable, &detail)
        }
        ChangeError::Unknown { operation } => {
            let status = StatusCode::GATEWAY_TIMEOUT;
            let body = OutcomeUnknown {
                title: "unknown",
                status: status.as_u16(),
                detail: "the store has not said whether the change took effect; \
                         look at the resources before trying again"
                    .to_owned(),
                operation: operation.as_str().to_owned(),
            };
            response::json_with_status(status, &body)
        }
    }
}

fn conflict(current: Revision, difference: Vec<Difference>) -> OperatorResp {
    let status = StatusCode::CONFLICT;
    let body = Conflict {
        title: "conflict",
        status: status.as_u16(),
        detail: format!(
            "the current revision is {current}; {} of the resources are declared otherwise",
            difference.len()
        ),
        current,
        difference,
    };
    response::json_with_status(status, &body)
}

fn not_found(kind: &str, name: &str) -> OperatorResp {
    let detail = format!("{kind}/{name} is not declared\n");
    response::text(StatusCode::NOT_FOUND, detail)
}

/// Waits for a revision above `from` and returns what has changed since `from`.
async fn watch(instance: &Instance, req: &OperatorReq) -> Result<OperatorResp, ErrorKind> {
    let from = Revision(query_number(req, "from")?.unwrap_or_default());
    let mut rx = instance.config.subscribe();
    let changed = rx.wait_for(|revision| *revision > from);
    let _ = tokio::time::timeout(WATCH_TIMEOUT, changed).await;
    let now = instance.tables.config();
    let before = match from {
        Revision(0) => Some(Arc::default()),
        from => instance.config.at(from),
    };
    if now.revision <= from {
        return Ok(response::json(&changes(from, Some(&now), &now)));
    }
    Ok(response::json(&changes(
        now.revision,
        before.as_deref(),
        &now,
    )))
}

fn changes(revision: Revision, before: Option<&ResourceSet>, now: &ResourceSet) -> Changes {
    let empty = ResourceSet::default();
    let old = before.unwrap_or(&empty);
    let is_changed = |found: &&Resource| old.find(found.kind(), found.name()) != Some(*found);
    let is_deleted = |found: &&Resource| now.find(found.kind(), found.name()).is_none();
    Changes {
        revision,
        complete: before.is_none(),
        changed: now.resources.iter().filter(is_changed).cloned().collect(),
        deleted: old
            .resources
            .iter()
            .filter(is_deleted)
            .map(|found| ResourceId {
                kind: found.kind().to_owned(),
                name: found.name().to_owned(),
            })
            .collect(),
    }
}

/// Parses a number in the query; `None` when it is absent.
fn query_number(req: &OperatorReq, name: &str) -> Result<Option<u64>, ErrorKind> {
    let query = req.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    let Some((_, value)) = values.next() else {
        return Ok(None);
    };
    value.parse().map(Some).map_err(|_| ErrorKind::BadRequest)
}
