//! Stand-in of the platform's instance list; it may lag.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use http::StatusCode;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::faults::Shared;
use crate::http::{Server, answer, json, serve};

/// One target of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// Identifier of the target.
    pub id: String,
    /// Service that it runs.
    pub service: String,
    /// Availability zone that it stands in.
    pub zone: String,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A running stand-in of the instance list.
#[derive(Debug)]
pub struct ListStandin {
    /// The server.
    pub server: Server,
    /// What the list shows.
    pub targets: Shared<Vec<ListedTarget>>,
}

#[derive(Serialize)]
struct WireChange {
    version: u64,
    whole: bool,
    targets: Vec<ListedTarget>,
    gone: Vec<String>,
}

/// Versions that changes can be told from.
const KEPT_VERSIONS: usize = 64;

/// The latest versions of the list, oldest first.
#[derive(Debug, Clone, Default)]
struct History {
    version: u64,
    kept: VecDeque<Arc<Version>>,
}

#[derive(Debug)]
struct Version {
    number: u64,
    targets: IndexMap<String, ListedTarget>,
}

impl History {
    /// Records what the list shows now, when it differs from the last version.
    fn record(&mut self, targets: &[ListedTarget]) -> Arc<Version> {
        if let Some(last) = self.kept.back()
            && last.targets.len() == targets.len()
            && targets
                .iter()
                .all(|target| last.targets.get(&target.id) == Some(target))
        {
            return Arc::clone(last);
        }
        self.version += 1;
        let by_id = targets
            .iter()
            .map(|target| (target.id.clone(), target.clone()));
        let version = Arc::new(Version {
            number: self.version,
            targets: by_id.collect(),
        });
        self.kept.push_back(Arc::clone(&version));
        if self.kept.len() > KEPT_VERSIONS {
            self.kept.pop_front();
        }
        version
    }

    fn find(&self, number: u64) -> Option<&Version> {
        self.kept
            .iter()
            .find(|version| version.number == number)
            .map(AsRef::as_ref)
    }
}

fn change(from: Option<&Version>, to: &Version) -> WireChange {
    let known = |target: &ListedTarget| from.and_then(|from| from.targets.get(&target.id));
    let changed = to
        .targets
        .values()
        .filter(|target| known(target) != Some(*target));
    let before = from.into_iter().flat_map(|from| from.targets.keys());
    WireChange {
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
/// The operating system's answer when no port can be had.
pub async fn start() -> std::io::Result<ListStandin> {
    let targets = Shared::<Vec<ListedTarget>>::default();
    let shared = targets.clone();
    let history = Shared::<History>::default();
    let server = serve(move |req| {
        let (targets, history) = (shared.clone(), history.clone());
        async move {
            if req.uri().path() != "/instances" {
                return Some(answer(StatusCode::NOT_FOUND, "no such page"));
            }
            let since = req
                .uri()
                .query()
                .and_then(|query| query.strip_prefix("since="));
            let since = since
                .and_then(|since| since.parse().ok())
                .unwrap_or_default();
            let shown = targets.get();
            Some(json(&history.change(|history| {
                let to = history.record(&shown);
                change(history.find(since), &to)
            })))
        }
    })
    .await?;
    Ok(ListStandin { server, targets })
}
