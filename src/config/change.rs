//! Changes of operators: checked, written once, settled when an answer is lost.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::distr::{Alphanumeric, SampleString};

use super::document::{self, Documents};
use super::manifest::{ConfigRules, Manifest, OperationId, Settled, settle};
use super::stored::{self, Stored};
use super::{fetch, spread};
use crate::instance::Instance;
use crate::macros::data;
use crate::platform::store::StoreError;
use crate::resource::{Resource, ResourceSet, Revision};

/// Time after which an operator is told that the outcome is unknown.
const PATIENCE: Duration = Duration::from_secs(20);
/// Wait before a write without an answer is looked at again.
const PAUSE: Duration = Duration::from_millis(200);
/// Length of the identifier of a write.
const OPERATION_LENGTH: usize = 20;

data! {
    /// A resource that is declared otherwise than the operator asked.
    pub struct Difference {
        /// Kind of the resource.
        pub kind: String,
        /// Its name.
        pub name: String,
        /// What is declared now, if anything.
        pub current: Option<Resource>,
        /// What the operator asked for, `None` for a deletion.
        pub asked: Option<Resource>,
    }
}

/// One resource to declare or to delete.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Edit {
    Put(Resource),
    Delete { kind: String, name: String },
}

/// A change of one or more resources.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) expected: Option<Revision>,
    pub(crate) dry_run: bool,
    pub(crate) edits: Vec<Edit>,
}

/// What became of a change.
#[derive(Debug, Clone)]
pub(crate) struct Accepted {
    pub(crate) revision: Revision,
    pub(crate) warnings: Vec<String>,
}

/// Why a change was not accepted.
#[derive(Debug, Clone)]
pub(crate) enum ChangeError {
    /// It came from another revision, or another change came first.
    Conflict {
        current: Revision,
        difference: Vec<Difference>,
    },
    /// The resources would not fit together.
    Invalid(Vec<String>),
    /// What is to be deleted is not declared.
    NotFound,
    /// What is to be deleted is in use.
    InUse(Vec<String>),
    /// The store could not be asked; nothing was written.
    Unavailable(String),
    /// The store did not say whether the write took effect.
    Unknown { operation: OperationId },
}

impl From<StoreError> for ChangeError {
    fn from(err: StoreError) -> Self {
        Self::Unavailable(err.to_string())
    }
}

/// A write that has been worked out and may be sent more than once.
struct Plan {
    over: i64,
    manifest: Manifest,
    documents: Documents,
    added: Documents,
    unused: Vec<document::DocumentHash>,
}

/// Makes a change, or says why it can't be made.
pub(crate) async fn make(instance: &Arc<Instance>, req: &Request) -> Result<Accepted, ChangeError> {
    let base = read_base(instance).await?;
    let current = current_set(instance, &base).await?;
    if req
        .expected
        .is_some_and(|expected| expected != current.revision)
    {
        return Err(conflict(&current, &req.edits));
    }
    let next = edited(&current, &req.edits)?;
    let problems = next.problems();
    if !problems.is_empty() {
        return Err(ChangeError::Invalid(problems));
    }
    let warnings = next.warnings();
    if req.dry_run || next.resources == current.resources {
        return Ok(Accepted {
            revision: current.revision,
            warnings,
        });
    }
    let plan = plan(instance, &base, &next)?;
    if !write(instance, &plan).await? {
        let latest = stored::read(&instance.config_store).await?;
        let latest = current_set(instance, &latest).await?;
        return Err(conflict(&latest, &req.edits));
    }
    let revision = plan.manifest.revision;
    spread::adopt(instance, &plan.manifest, plan.documents).map_err(ChangeError::Unavailable)?;
    spread::tell_peers(instance);
    Ok(Accepted { revision, warnings })
}

/// Reads what a change starts from; never less than what is in force here.
async fn read_base(instance: &Instance) -> Result<Stored, ChangeError> {
    let read = stored::read(&instance.config_store).await?;
    if read.manifest.revision < instance.config.revision() {
        let detail = "the store shows an older configuration than the one in force; try again";
        return Err(ChangeError::Unavailable(detail.to_owned()));
    }
    Ok(read)
}

async fn current_set(instance: &Instance, stored: &Stored) -> Result<ResourceSet, ChangeError> {
    let manifest = &stored.manifest;
    let missing = instance.config.missing(manifest);
    let mut documents = fetch::documents(instance, &missing, None)
        .await
        .map_err(|err| ChangeError::Unavailable(err.to_string()))?;
    documents.extend(instance.config.documents());
    document::join(manifest.revision, &manifest.documents, &documents)
        .map_err(|err| ChangeError::Unavailable(err.to_string()))
}

fn edited(current: &ResourceSet, edits: &[Edit]) -> Result<ResourceSet, ChangeError> {
    let mut next = current.clone();
    for edit in edits {
        match edit {
            Edit::Put(resource) => next.put(resource.clone()),
            Edit::Delete { kind, name } => {
                let users = current.users(kind, name);
                if !users.is_empty() {
                    return Err(ChangeError::InUse(users));
                }
                next.remove(kind, name).ok_or(ChangeError::NotFound)?;
            }
        }
    }
    Ok(next)
}

fn conflict(current: &ResourceSet, edits: &[Edit]) -> ChangeError {
    ChangeError::Conflict {
        current: current.revision,
        difference: difference(current, edits),
    }
}

/// The edited resources that are declared otherwise now.
pub(crate) fn difference(current: &ResourceSet, edits: &[Edit]) -> Vec<Difference> {
    let asked = edits.iter().map(|edit| match edit {
        Edit::Put(resource) => (resource.kind(), resource.name(), Some(resource)),
        Edit::Delete { kind, name } => (kind.as_str(), name.as_str(), None),
    });
    asked
        .map(|(kind, name, asked)| (kind, name, current.find(kind, name), asked))
        .filter(|(_, _, current, asked)| current != asked)
        .map(|(kind, name, current, asked)| Difference {
            kind: kind.to_owned(),
            name: name.to_owned(),
            current: current.cloned(),
            asked: asked.cloned(),
        })
        .collect()
}

fn plan(instance: &Instance, base: &Stored, next: &ResourceSet) -> Result<Plan, ChangeError> {
    let documents =
        document::split(next).map_err(|err| ChangeError::Invalid(vec![err.to_string()]))?;
    let operation = Alphanumeric.sample_string(&mut rand::rng(), OPERATION_LENGTH);
    let hashes = documents.keys().cloned().collect();
    let origin = instance.tables.member.instance.clone();
    let (manifest, unused) = base.manifest.next(operation.into(), origin, hashes);
    let mut added = documents.clone();
    added.retain(|hash, _| !base.manifest.documents.contains(hash));
    Ok(Plan {
        over: base.mod_revision,
        manifest,
        documents,
        added,
        unused,
    })
}

/// Sends a write until it is known whether it took effect.
async fn write(instance: &Instance, plan: &Plan) -> Result<bool, ChangeError> {
    let store = &instance.config_store;
    let operation = &plan.manifest.operation;
    let start = Instant::now();
    let mut sent = false;
    while start.elapsed() < PATIENCE {
        let (added, unused) = (&plan.added, &plan.unused);
        match stored::write(store, plan.over, &plan.manifest, added, unused).await {
            Ok(true) => return Ok(true),
            Ok(false) if !sent => return Ok(false),
            Err(StoreError::OutcomeUnknown(_)) => sent = true,
            Err(err) if !sent => return Err(err.into()),
            Ok(false) | Err(_) => {}
        }
        if let Ok(read) = stored::read(store).await {
            let rules = ConfigRules::default();
            let (manifest, read_at) = (&read.manifest, read.mod_revision);
            match settle(operation, plan.over, manifest, read_at, rules) {
                Settled::Accepted => return Ok(true),
                Settled::Overtaken => return Ok(false),
                Settled::Unknown => {}
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    Err(ChangeError::Unknown {
        operation: operation.clone(),
    })
}
