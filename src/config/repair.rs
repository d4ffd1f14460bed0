//! Restores the configuration in a store that has lost it.

use super::stored::{self, StoredManifest};
use crate::instance::Instance;
use crate::platform::store::StoreError;
use crate::resource::Revision;

/// Writes the configuration in force to the store when the store holds an older revision.
///
/// A comparison rules out that the read was merely stale. When another instance restores the
/// configuration first, the comparison of this write fails.
pub(super) async fn restore_if_lost(
    instance: &Instance,
    read: &StoredManifest,
) -> Result<(), StoreError> {
    let in_force = instance.config.manifest();
    let outdated = read.manifest.revision < in_force.revision;
    if in_force.revision == Revision::default() || !outdated {
        return Ok(());
    }
    let store = &instance.config_store;
    if !stored::is_current(store, read).await? {
        return Ok(());
    }
    let documents = instance.config.documents();
    let base_mod_revision = read.mod_revision;
    if stored::write_manifest(store, base_mod_revision, &in_force, &documents, &[]).await? {
        tracing::warn!(
            revision = %in_force.revision,
            found = %read.manifest.revision,
            "the store had lost the configuration; it is restored"
        );
    }
    Ok(())
}
