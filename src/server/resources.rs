//! The operators' resources over HTTP: list, show, apply, delete, watch.

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
const RESOURCES: &str = "/v1/resources";
/// Path of the watch.
const WATCH: &str = "/v1/watch";
/// Longest wait of a watch; it answers without a change then.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Resources of one kind.
#[derive(Serialize)]
struct Listing<'a> {
    revision: Revision,
    resources: Vec<&'a Resource>,
}

/// One resource and its status.
#[derive(Serialize)]
struct Shown<'a> {
    #[serde(flatten)]
    resource: &'a Resource,
    status: Status,
}

/// What changed between two revisions.
#[derive(Serialize)]
struct Changes {
    revision: Revision,
    /// Whether `changed` is all that is declared, as `from` is no longer known.
    complete: bool,
    changed: Vec<Resource>,
    deleted: Vec<Named>,
}

/// Names a resource.
#[derive(Serialize)]
struct Named {
    kind: String,
    name: String,
}

/// Answer to a change that came too late.
#[derive(Serialize)]
struct Conflict {
    title: &'static str,
    status: u16,
    detail: String,
    current: Revision,
    difference: Vec<Difference>,
}

/// Answer to the deletion of a resource in use.
#[derive(Serialize)]
struct InUse {
    title: &'static str,
    status: u16,
    detail: String,
    users: Vec<String>,
}

/// Answer to a change whose outcome the store did not tell.
#[derive(Serialize)]
struct Unknown {
    title: &'static str,
    status: u16,
    detail: String,
    operation: String,
}

/// Whether a request is for this interface.
pub(super) fn covers(req: &OperatorReq) -> bool {
    let path = req.uri().path();
    let below = |rest: &str| rest.is_empty() || rest.starts_with('/');
    path == WATCH || path.strip_prefix(RESOURCES).is_some_and(below)
}

/// Answers one request.
pub(super) async fn handle(
    instance: &Arc<Instance>,
    req: OperatorReq,
) -> Result<OperatorResp, ErrorKind> {
    let path = req.uri().path().to_owned();
    let rest = path.strip_prefix(RESOURCES).unwrap_or_default();
    let parts: Vec<&str> = rest.split('/').filter(|part| !part.is_empty()).collect();
    match (req.method(), parts.as_slice()) {
        (&Method::GET, []) if path == WATCH => Ok(watch(instance, &req).await?),
        (&Method::GET, []) => Ok(response::json(&*instance.tables.config())),
        (&Method::POST, []) if path != WATCH => apply(instance, req).await,
        (&Method::GET, [kind]) => Ok(list(instance, kind)),
        (&Method::GET, [kind, name]) => Ok(show(instance, kind, name).await),
        (&Method::DELETE, [kind, name]) => {
            let expected = number(&req, "expected")?.map(Revision);
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
    let told = revisions(instance).await;
    response::json(&Shown {
        resource,
        status: status::build(resource, &set, &told),
    })
}

/// The revisions in force on the members, `None` for those that did not answer.
async fn revisions(instance: &Instance) -> Vec<Option<Revision>> {
    let msg = ManifestReq {
        above: Revision(u64::MAX),
    };
    let addresses = peers::peer_addresses(instance);
    let asked = addresses
        .iter()
        .map(|address| peers::call::<ManifestResp>(instance, *address, "config_manifest", &msg));
    let mut told: Vec<_> = join_all(asked).await;
    let own = instance.config.revision();
    let others = told.drain(..).map(|answer| Some(answer?.revision));
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
    Ok(make(instance, req).await)
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
    make(instance, req).await
}

/// Makes a change on a task of its own, so that a client that goes away leaves
/// no write half settled.
async fn make(instance: &Arc<Instance>, req: ChangeRequest) -> OperatorResp {
    let maker = Arc::clone(instance);
    let made = instance
        .rt
        .spawn(async move { change::apply(&maker, &req).await })
        .await;
    match made {
        Ok(Ok(accepted)) => response::json(&ApplyResp {
            revision: accepted.revision,
            warnings: accepted.warnings,
        }),
        Ok(Err(err)) => refusal(err),
        Err(_) => response::error(ErrorKind::Unavailable),
    }
}

fn refusal(err: ChangeError) -> OperatorResp {
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
            response::json_with(status, &body)
        }
        ChangeError::Unavailable(reason) => {
            let detail = format!("nothing was changed: {reason}");
            response::error_with_detail(ErrorKind::Unavailable, &detail)
        }
        ChangeError::Unknown { operation } => {
            let status = StatusCode::GATEWAY_TIMEOUT;
            let body = Unknown {
                title: "unknown",
                status: status.as_u16(),
                detail: "the store has not said whether the change took effect; \
                         look at the resources before trying again"
                    .to_owned(),
                operation: operation.as_str().to_owned(),
            };
            response::json_with(status, &body)
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
    response::json_with(status, &body)
}

fn not_found(kind: &str, name: &str) -> OperatorResp {
    let detail = format!("{kind}/{name} is not declared\n");
    response::text(StatusCode::NOT_FOUND, detail)
}

/// Waits for a revision above `from` and tells what changed since.
async fn watch(instance: &Instance, req: &OperatorReq) -> Result<OperatorResp, ErrorKind> {
    let from = Revision(number(req, "from")?.unwrap_or_default());
    let mut rx = instance.config.subscribe();
    let changed = rx.wait_for(|revision| *revision > from);
    let _ = tokio::time::timeout(WATCH_WAIT, changed).await;
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
    let is_news = |found: &&Resource| old.find(found.kind(), found.name()) != Some(*found);
    let is_gone = |found: &&Resource| now.find(found.kind(), found.name()).is_none();
    Changes {
        revision,
        complete: before.is_none(),
        changed: now.resources.iter().filter(is_news).cloned().collect(),
        deleted: old
            .resources
            .iter()
            .filter(is_gone)
            .map(|found| Named {
                kind: found.kind().to_owned(),
                name: found.name().to_owned(),
            })
            .collect(),
    }
}

/// A number in the query; absent or well formed.
fn number(req: &OperatorReq, name: &str) -> Result<Option<u64>, ErrorKind> {
    let query = req.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    let Some((_, value)) = values.next() else {
        return Ok(None);
    };
    value.parse().map(Some).map_err(|_| ErrorKind::BadRequest)
}
