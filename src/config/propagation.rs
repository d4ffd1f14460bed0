//! Keeps an instance's configuration up to date through a watch on the store, notices from
//! peers, and periodic checks of both.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::document::Documents;
use super::manifest::Manifest;
use super::peers::{self, ConfigNotice, ManifestReq, ManifestResp};
use super::stored::{self, CONFIG_KEY, StoredManifest};
use super::{fetch, repair, shards};
use crate::instance::Instance;
use crate::platform::store::{Change, StoreError, WatchReq};
use crate::resource::Revision;

/// Shortest and longest backoff before the watch on the store is started again.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(3));

/// Follows the store and the peers until the process ends.
pub(crate) async fn run(instance: Arc<Instance>) {
    tokio::join!(
        watch_store(&instance),
        poll_peers(&instance),
        check_store_periodically(&instance)
    );
}

/// Fetches the configuration of a peer whose heartbeat reports a higher revision.
pub(crate) async fn on_peer_revision(
    instance: &Arc<Instance>,
    revision: Revision,
    peer: SocketAddr,
) {
    if revision > instance.config.revision() {
        fetch_from_peer(instance, peer).await;
    }
}

/// Fetches the documents of a manifest and puts it in force. A manifest that is not newer or is
/// being fetched already is ignored. `from` is a peer that has the documents.
pub(crate) async fn fetch_and_adopt(
    instance: &Arc<Instance>,
    manifest: Manifest,
    from: Option<SocketAddr>,
) {
    let Some(_guard) = instance.config.begin_fetch(manifest.revision) else {
        return;
    };
    let directory = instance.tables.directory();
    let origin = directory.members.get(&manifest.origin);
    let first = from.or(origin.map(|member| member.peers));
    let missing = instance.config.missing_documents(&manifest);
    let adopted = match fetch::documents(instance, &missing, first).await {
        Ok(documents) => adopt(instance, &manifest, documents),
        Err(err) => Err(err.to_string()),
    };
    if let Err(problem) = adopted {
        tracing::warn!(revision = %manifest.revision, problem, "configuration not in force yet");
        instance.config.set_problem(problem);
    }
}

/// Puts a manifest in force and applies it to the owned shards. A manifest that is not newer is
/// ignored.
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
        shards::apply(instance);
        tracing::info!(revision = %manifest.revision, "configuration in force");
    }
    Ok(())
}

/// Sends the manifest in force to every peer, each in a separate task.
pub(crate) fn notify_peers(instance: &Arc<Instance>) {
    let msg = ConfigNotice {
        from: instance.tables.member.peers,
        manifest: instance.config.manifest(),
    };
    for address in peers::peer_addresses(instance) {
        let (shared, msg) = (Arc::clone(instance), msg.clone());
        instance.rt.spawn(async move {
            let reported = peers::call(&shared, address, "config_notice", &msg).await;
            if let Some(revision) = reported {
                on_peer_revision(&shared, revision, address).await;
            }
        });
    }
}

/// Polls one peer at a time for a newer manifest.
async fn poll_peers(instance: &Arc<Instance>) {
    loop {
        if let Some(address) = peers::peer_addresses(instance).first() {
            fetch_from_peer(instance, *address).await;
        }
        sleep_jittered(instance.tables.settings.config.poll_period).await;
    }
}

/// Requests a newer manifest from a peer and adopts it.
async fn fetch_from_peer(instance: &Arc<Instance>, address: SocketAddr) {
    let msg = ManifestReq {
        above: instance.config.revision(),
    };
    let resp = peers::call(instance, address, "config_manifest", &msg).await;
    if let Some(ManifestResp {
        manifest: Some(manifest),
        ..
    }) = resp
    {
        fetch_and_adopt(instance, manifest, Some(address)).await;
    }
}

/// Watches the manifest in the store and starts over with backoff when the watch ends.
async fn watch_store(instance: &Arc<Instance>) {
    let mut backoff = BACKOFF.0;
    loop {
        match watch_once(instance).await {
            Ok(()) => backoff = BACKOFF.0,
            Err(err) => {
                if instance.config.revision() == Revision::default() {
                    instance.config.set_problem(err.to_string());
                }
                tracing::debug!(%err, "configuration watch failed, retrying");
            }
        }
        sleep_jittered(backoff).await;
        backoff = (backoff * 2).min(BACKOFF.1);
    }
}

/// Reads the manifest and watches it until the watch ends.
async fn watch_once(instance: &Arc<Instance>) -> Result<(), StoreError> {
    let read = read_current(instance).await?;
    let start_revision = read.store_revision + 1;
    fetch_and_adopt(instance, read.manifest, None).await;
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
            let shared = Arc::clone(instance);
            tokio::spawn(async move { fetch_and_adopt(&shared, manifest, None).await });
        }
    }
    Ok(())
}

/// Reads the manifest. The first read of a process must be confirmed as the current state,
/// because a stale one could be older than what peers have in force.
async fn read_current(instance: &Instance) -> Result<StoredManifest, StoreError> {
    let store = &instance.config_store;
    let read = stored::read_manifest(store).await?;
    let known = instance.config.revision();
    if known > Revision::default() || stored::is_current(store, &read).await? {
        return Ok(read);
    }
    Err(StoreError::Refused("the read was old".to_owned()))
}

/// Reads the manifest periodically, because a watch may stay open without delivering changes
/// and the store may have lost its data.
async fn check_store_periodically(instance: &Arc<Instance>) {
    loop {
        sleep_jittered(instance.tables.settings.config.check_period).await;
        let read = stored::read_manifest(&instance.config_store).await;
        let Ok(read) = read else {
            continue;
        };
        if read.manifest.revision > instance.config.revision() {
            if instance.config.revision() > Revision::default() {
                fetch_and_adopt(instance, read.manifest, None).await;
            }
        } else if let Err(err) = repair::restore_if_lost(instance, &read).await {
            tracing::warn!(%err, "failed to restore the configuration in the store");
        }
    }
}

/// Sleeps for a random time between half and one and a half times `period`, so that instances
/// do not poll in step.
async fn sleep_jittered(period: Duration) {
    let factor = rand::rng().random_range(0.5..1.5);
    tokio::time::sleep(period.mul_f64(factor)).await;
}
