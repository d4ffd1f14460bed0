//! Stand-in of the platform's instance list, which names the targets of each service.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use http::StatusCode;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::faults::Shared;
use crate::http::{Server, json_response, response, serve};

/// One target in the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// Identifier of the target.
    pub id: String,
    /// Service that it runs.
    pub service: String,
    /// Availability zone of the target.
    pub zone: String,
    /// Address that accepts calls.
    pub address: SocketAddr,
    /// Whether the target takes no new calls.
    pub leaving: bool,
}

/// A running stand-in of the instance list; it stops when it is dropped.
#[derive(Debug)]
pub struct ListStandin {
    /// HTTP server that serves `/instances`.
    pub server: Server,
    /// Current contents; a test that wants a lagging list updates them late.
    pub targets: Shared<Vec<ListedTarget>>,
}

#[derive(Serialize)]
struct ListChange {
    version: u64,
    whole: bool,
    targets: Vec<ListedTarget>,
    gone: Vec<String>,
}

/// Versions from which changes can be computed; for older ones the whole list is sent.
const MAX_VERSIONS: usize = 64;

/// The most recent versions of the list, oldest first.
#[derive(Debug, Clone, Default)]
struct History {
    latest: u64,
    versions: VecDeque<Arc<Version>>,
}

#[derive(Debug)]
struct Version {
    number: u64,
    targets: IndexMap<String, ListedTarget>,
}

impl History {
    /// Returns the latest version, after adding one if `targets` differ from it.
    fn record(&mut self, targets: &[ListedTarget]) -> Arc<Version> {
        if let Some(last) = self.versions.back()
            && last.targets.len() == targets.len()
            && targets
                .iter()
                .all(|target| last.targets.get(&target.id) == Some(target))
        {
            return Arc::clone(last);
        }
        self.latest += 1;
        let by_id = targets
            .iter()
            .map(|target| (target.id.clone(), target.clone()));
        let version = Arc::new(Version {
            number: self.latest,
            targets: by_id.collect(),
        });
        self.versions.push_back(Arc::clone(&version));
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
        version
    }

    fn find(&self, number: u64) -> Option<&Version> {
        self.versions
            .iter()
            .find(|version| version.number == number)
            .map(AsRef::as_ref)
    }
}

fn changes_since(from: Option<&Version>, to: &Version) -> ListChange {
    let known = |target: &ListedTarget| from.and_then(|from| from.targets.get(&target.id));
    let changed = to
        .targets
        .values()
        .filter(|target| known(target) != Some(*target));
    let before = from.into_iter().flat_map(|from| from.targets.keys());
    ListChange {
        version: to.number,
        whole: from.is_none(),
        targets: changed.cloned().collect(),
        gone: before
            .filter(|id| !to.targets.contains_key(*id))
            .cloned()
            .collect(),
    }
}

/// Starts the stand-in with an empty list.
///
/// # Errors
/// The operating system's error when no port can be bound.
pub async fn start() -> std::io::Result<ListStandin> {
    let targets = Shared::<Vec<ListedTarget>>::default();
    let shared = targets.clone();
    let history = Shared::<History>::default();
    let server = serve(move |req| {
        let (targets, history) = (shared.clone(), history.clone());
        async move {
            if req.uri().path() != "/instances" {
                return Some(response(StatusCode::NOT_FOUND, "no such page"));
            }
            let since = req
                .uri()
                .query()
                .and_then(|query| query.strip_prefix("since="));
            let since = since
                .and_then(|since| since.parse().ok())
                .unwrap_or_default();
            let current = targets.get();
            Some(json_response(&history.change(|history| {
                let to = history.record(&current);
                changes_since(history.find(since), &to)
            })))
        }
    })
    .await?;
    Ok(ListStandin { server, targets })
}
