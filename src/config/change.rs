//! Changes by operators: validates a change, writes it to the store so that it takes effect at
//! most once, and determines the outcome when the response of the store is lost.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::distr::{Alphanumeric, SampleString};

use super::document::{self, Documents};
use super::manifest::{ConfigRules, Manifest, OperationId, WriteOutcome, settle};
use super::stored::{self, StoredManifest};
use super::{fetch, propagation};
use crate::instance::Instance;
use crate::macros::data;
use crate::platform::store::StoreError;
use crate::resource::{Resource, ResourceSet, Revision};

/// Time after which the outcome of a write is reported as unknown.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Wait between attempts to determine the outcome of a write.
const SETTLE_INTERVAL: Duration = Duration::from_millis(200);
/// Number of characters of a generated [`OperationId`].
const OPERATION_ID_LENGTH: usize = 20;

data! {
    /// A resource whose declared state differs from the one that the operator requested.
    pub struct Difference {
        /// Kind of the resource, such as `Service`.
        pub kind: String,
        /// Name of the resource within its kind.
        pub name: String,
        /// Resource as declared now, `None` when it is not declared.
        pub current: Option<Resource>,
        /// Resource as requested, `None` for a deletion.
        pub asked: Option<Resource>,
    }
}

/// Declares or deletes one resource.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Edit {
    Put(Resource),
    Delete { kind: String, name: String },
}

/// A request to change one or more resources in one step.
#[derive(Debug, Clone)]
pub(crate) struct ChangeRequest {
    /// Revision that the change is based on; any when `None`.
    pub(crate) expected: Option<Revision>,
    /// Whether the change is only validated and not written.
    pub(crate) dry_run: bool,
    pub(crate) edits: Vec<Edit>,
}

/// Result of a change that was accepted or needed no write.
#[derive(Debug, Clone)]
pub(crate) struct AppliedChange {
    pub(crate) revision: Revision,
    pub(crate) warnings: Vec<String>,
}

/// Why a change was not accepted.
#[derive(Debug, Clone)]
pub(crate) enum ChangeError {
    /// The change is based on another revision, or another change came first.
    Conflict {
        current: Revision,
        difference: Vec<Difference>,
    },
    /// The resulting resources are invalid; one line per problem.
    Invalid(Vec<String>),
    /// The resource to delete is not declared.
    NotFound,
    /// The resource to delete is in use; one line per use.
    InUse(Vec<String>),
    /// The store or a document could not be read or written; nothing was changed.
    Unavailable(String),
    /// It is unknown whether the write took effect.
    Unknown { operation: OperationId },
}

impl From<StoreError> for ChangeError {
    fn from(err: StoreError) -> Self {
        Self::Unavailable(err.to_string())
    }
}

/// A prepared write, which may be sent more than once.
struct PlannedWrite {
    /// Revision of the manifest's key that the write replaces.
    base_mod_revision: i64,
    manifest: Manifest,
    /// All documents of the manifest.
    documents: Documents,
    /// Documents that the base manifest does not refer to.
    added: Documents,
    /// Documents to delete, as no listed revision refers to them any more.
    unused: Vec<document::DocumentHash>,
}

/// Validates a change, writes it to the store and puts it in force on this instance.
pub(crate) async fn apply(
    instance: &Arc<Instance>,
    req: &ChangeRequest,
) -> Result<AppliedChange, ChangeError> {
    let base = read_base(instance).await?;
    let current = current_set(instance, &base).await?;
    if req
        .expected
        .is_some_and(|expected| expected != current.revision)
    {
        return Err(conflict(&current, &req.edits));
    }
    let updated = apply_edits(&current, &req.edits)?;
    let problems = updated.problems();
    if !problems.is_empty() {
        return Err(ChangeError::Invalid(problems));
    }
    let warnings = updated.warnings();
    if req.dry_run || updated.resources == current.resources {
        return Ok(AppliedChange {
            revision: current.revision,
            warnings,
        });
    }
    let plan = plan_write(instance, &base, &updated)?;
    if !write_until_settled(instance, &plan).await? {
        let latest = stored::read_manifest(&instance.config_store).await?;
        let latest = current_set(instance, &latest).await?;
        return Err(conflict(&latest, &req.edits));
    }
    let revision = plan.manifest.revision;
    let adopted = propagation::adopt(instance, &plan.manifest, plan.documents);
    propagation::notify_peers(instance);
    Ok(accepted(revision, warnings, adopted))
}

/// The result of a change that was written. It is accepted even if this instance can't
/// put it in force yet.
fn accepted(
    revision: Revision,
    mut warnings: Vec<String>,
    adopted: Result<(), String>,
) -> AppliedChange {
    if let Err(problem) = adopted {
        tracing::warn!(%revision, problem, "a written change is not in force here yet");
        warnings.push(format!(
            "revision {revision} was written but is not in force on this instance yet: {problem}"
        ));
    }
    AppliedChange { revision, warnings }
}

/// Reads the manifest that a change is based on. A read older than the configuration in force on
/// this instance is an error.
async fn read_base(instance: &Instance) -> Result<StoredManifest, ChangeError> {
    let read = stored::read_manifest(&instance.config_store).await?;
    if read.manifest.revision < instance.config.revision() {
        let detail = "the store shows an older configuration than the one in force; try again";
        return Err(ChangeError::Unavailable(detail.to_owned()));
    }
    Ok(read)
}

/// Joins the resources of a manifest, fetching the documents that are missing here.
async fn current_set(
    instance: &Instance,
    stored: &StoredManifest,
) -> Result<ResourceSet, ChangeError> {
    let manifest = &stored.manifest;
    let missing = instance.config.missing_documents(manifest);
    let mut documents = fetch::documents(instance, &missing, None)
        .await
        .map_err(|err| ChangeError::Unavailable(err.to_string()))?;
    documents.extend(instance.config.documents());
    document::join(manifest.revision, &manifest.documents, &documents)
        .map_err(|err| ChangeError::Unavailable(err.to_string()))
}

/// Applies edits in order; a resource in use can't be deleted.
fn apply_edits(current: &ResourceSet, edits: &[Edit]) -> Result<ResourceSet, ChangeError> {
    let mut updated = current.clone();
    for edit in edits {
        match edit {
            Edit::Put(resource) => updated.put(resource.clone()),
            Edit::Delete { kind, name } => {
                let usages = current.usages(kind, name);
                if !usages.is_empty() {
                    return Err(ChangeError::InUse(usages));
                }
                updated.remove(kind, name).ok_or(ChangeError::NotFound)?;
            }
        }
    }
    Ok(updated)
}

fn conflict(current: &ResourceSet, edits: &[Edit]) -> ChangeError {
    ChangeError::Conflict {
        current: current.revision,
        difference: difference(current, edits),
    }
}

/// Returns the edited resources whose declared state differs from the requested one.
pub(crate) fn difference(current: &ResourceSet, edits: &[Edit]) -> Vec<Difference> {
    let requested = edits.iter().map(|edit| match edit {
        Edit::Put(resource) => (resource.kind(), resource.name(), Some(resource)),
        Edit::Delete { kind, name } => (kind.as_str(), name.as_str(), None),
    });
    requested
        .map(|(kind, name, requested)| (kind, name, current.find(kind, name), requested))
        .filter(|(_, _, current, requested)| current != requested)
        .map(|(kind, name, current, requested)| Difference {
            kind: kind.to_owned(),
            name: name.to_owned(),
            current: current.cloned(),
            asked: requested.cloned(),
        })
        .collect()
}

/// Prepares the write that replaces the manifest `base` by one with the resources of `updated`.
fn plan_write(
    instance: &Instance,
    base: &StoredManifest,
    updated: &ResourceSet,
) -> Result<PlannedWrite, ChangeError> {
    let documents =
        document::split(updated).map_err(|err| ChangeError::Invalid(vec![err.to_string()]))?;
    let operation = Alphanumeric.sample_string(&mut rand::rng(), OPERATION_ID_LENGTH);
    let hashes = documents.keys().cloned().collect();
    let origin = instance.tables.member.instance.clone();
    let (manifest, unused) = base.manifest.next(operation.into(), origin, hashes);
    let mut added = documents.clone();
    added.retain(|hash, _| !base.manifest.documents.contains(hash));
    Ok(PlannedWrite {
        base_mod_revision: base.mod_revision,
        manifest,
        documents,
        added,
        unused,
    })
}

/// Sends a write until its outcome is known; returns whether it took effect. Sending it again is
/// safe, because its comparison fails once any write has taken effect.
async fn write_until_settled(
    instance: &Instance,
    plan: &PlannedWrite,
) -> Result<bool, ChangeError> {
    let store = &instance.config_store;
    let operation = &plan.manifest.operation;
    let start = Instant::now();
    // Set once a write may have taken effect without a response.
    let mut unanswered = false;
    while start.elapsed() < SETTLE_TIMEOUT {
        let (added, unused) = (&plan.added, &plan.unused);
        match stored::write_manifest(store, plan.base_mod_revision, &plan.manifest, added, unused)
            .await
        {
            Ok(true) => return Ok(true),
            Ok(false) if !unanswered => return Ok(false),
            Err(StoreError::OutcomeUnknown(_)) => unanswered = true,
            Err(err) if !unanswered => return Err(err.into()),
            Ok(false) | Err(_) => {}
        }
        if let Ok(read) = stored::read_manifest(store).await {
            let rules = ConfigRules::default();
            let (manifest, read_mod_revision) = (&read.manifest, read.mod_revision);
            match settle(
                operation,
                plan.base_mod_revision,
                manifest,
                read_mod_revision,
                rules,
            ) {
                WriteOutcome::Accepted => return Ok(true),
                WriteOutcome::Superseded => return Ok(false),
                WriteOutcome::Unknown => {}
            }
        }
        tokio::time::sleep(SETTLE_INTERVAL).await;
    }
    Err(ChangeError::Unknown {
        operation: operation.clone(),
    })
}

#[cfg(test)]
mod tests;
