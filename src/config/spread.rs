//! Keeps an instance's configuration up to date: by the store's watch, by what
//! peers tell, and by looking again now and then.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::document::Documents;
use super::manifest::Manifest;
use super::peers::{self, ConfigNotice, ManifestReq, ManifestResp};
use super::stored::{self, CONFIG_KEY, Stored};
use super::{fetch, repair, zones};
use crate::instance::Instance;
use crate::platform::store::{Change, StoreError, WatchReq};
use crate::resource::Revision;

/// Shortest and longest wait before the store is tried again.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(3));

/// Runs until the process ends.
pub(crate) async fn run(instance: Arc<Instance>) {
    tokio::join!(
        follow_store(&instance),
        poll_peers(&instance),
        look_again(&instance)
    );
}

/// Hook for heartbeats: a peer has said which revision is in force on it.
pub(crate) async fn learned(instance: &Arc<Instance>, revision: Revision, peer: SocketAddr) {
    if revision > instance.config.revision() {
        ask_peer(instance, peer).await;
    }
}

/// Takes in a manifest, from wherever it came; `from` is a peer that has its documents.
pub(crate) async fn learn(instance: &Arc<Instance>, manifest: Manifest, from: Option<SocketAddr>) {
    let Some(_learning) = instance.config.begin(manifest.revision) else {
        return;
    };
    let directory = instance.tables.directory();
    let origin = directory.members.get(&manifest.origin);
    let first = from.or(origin.map(|member| member.peers));
    let missing = instance.config.missing(&manifest);
    let adopted = match fetch::documents(instance, &missing, first).await {
        Ok(documents) => adopt(instance, &manifest, documents),
        Err(err) => Err(err.to_string()),
    };
    if let Err(problem) = adopted {
        tracing::warn!(revision = %manifest.revision, problem, "configuration not in force yet");
        instance.config.note_problem(problem);
    }
}

/// Puts a manifest in force, unless a newer one is.
pub(crate) fn adopt(
    instance: &Arc<Instance>,
    manifest: &Manifest,
    documents: Documents,
) -> Result<(), String> {
    let adopted = instance
        .config
        .adopt(&instance.tables, manifest, documents)
        .map_err(|err| err.to_string())?;
    if adopted {
        zones::apply(instance);
        tracing::info!(revision = %manifest.revision, "configuration in force");
    }
    Ok(())
}

/// Tells every peer of the manifest in force, each on a task of its own.
pub(crate) fn tell_peers(instance: &Arc<Instance>) {
    let msg = ConfigNotice {
        from: instance.tables.member.peers,
        manifest: instance.config.manifest(),
    };
    for address in peers::nearest(instance) {
        let (teller, msg) = (Arc::clone(instance), msg.clone());
        instance.rt.spawn(async move {
            let told = peers::ask(&teller, address, "config_notice", &msg).await;
            if let Some(revision) = told {
                learned(&teller, revision, address).await;
            }
        });
    }
}

async fn poll_peers(instance: &Arc<Instance>) {
    loop {
        if let Some(address) = peers::nearest(instance).first() {
            ask_peer(instance, *address).await;
        }
        sleep_about(instance.tables.settings.config.poll_period).await;
    }
}

async fn ask_peer(instance: &Arc<Instance>, address: SocketAddr) {
    let msg = ManifestReq {
        above: instance.config.revision(),
    };
    let answer = peers::ask(instance, address, "config_manifest", &msg).await;
    if let Some(ManifestResp {
        manifest: Some(manifest),
        ..
    }) = answer
    {
        learn(instance, manifest, Some(address)).await;
    }
}

async fn follow_store(instance: &Arc<Instance>) {
    let mut backoff = BACKOFF.0;
    loop {
        match follow(instance).await {
            Ok(()) => backoff = BACKOFF.0,
            Err(err) => {
                if instance.config.revision() == Revision::default() {
                    instance.config.note_problem(err.to_string());
                }
                tracing::debug!(%err, "configuration not followed; it is tried again");
            }
        }
        sleep_about(backoff).await;
        backoff = (backoff * 2).min(BACKOFF.1);
    }
}

/// Reads the manifest and follows it until the watch breaks off.
async fn follow(instance: &Arc<Instance>) -> Result<(), StoreError> {
    let read = read_confirmed(instance).await?;
    let start_revision = read.store_revision + 1;
    learn(instance, read.manifest, None).await;
    let req = WatchReq {
        key: CONFIG_KEY.to_owned(),
        prefix: false,
        start_revision,
    };
    let mut watch = (instance.config_store.watch)(req).await?;
    while let Some(batch) = watch.next().await {
        let puts = batch?
            .changes
            .into_iter()
            .filter_map(|change| match change {
                Change::Put(entry) => stored::decode(&entry.value).ok(),
                Change::Delete { .. } => None,
            });
        if let Some(manifest) = puts.max_by_key(|manifest| manifest.revision) {
            let learner = Arc::clone(instance);
            tokio::spawn(async move { learn(&learner, manifest, None).await });
        }
    }
    Ok(())
}

/// Reads the manifest. The first read of a run must be the present state, as an
/// older one would be below what peers have in force.
async fn read_confirmed(instance: &Instance) -> Result<Stored, StoreError> {
    let store = &instance.config_store;
    let read = stored::read(store).await?;
    let known = instance.config.revision();
    if known > Revision::default() || stored::is_present(store, &read).await? {
        return Ok(read);
    }
    Err(StoreError::Refused("the read was old".to_owned()))
}

/// Reads the manifest now and then: a watch may stand and tell nothing, and a
/// store may have lost what it held.
async fn look_again(instance: &Arc<Instance>) {
    loop {
        sleep_about(instance.tables.settings.config.check_period).await;
        let read = stored::read(&instance.config_store).await;
        let Ok(read) = read else {
            continue;
        };
        if read.manifest.revision > instance.config.revision() {
            if instance.config.revision() > Revision::default() {
                learn(instance, read.manifest, None).await;
            }
        } else if let Err(err) = repair::run(instance, &read).await {
            tracing::warn!(%err, "the store's configuration is behind and was not restored");
        }
    }
}

/// Sleeps for half to one and a half times `period`.
async fn sleep_about(period: Duration) {
    let share = rand::rng().random_range(0.5..1.5);
    tokio::time::sleep(period.mul_f64(share)).await;
}
