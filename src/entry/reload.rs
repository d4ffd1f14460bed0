//! Reloads changed settings while the instance runs.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::entry::settings::EntrySettings;
use crate::entry::shared::Shared;
use crate::platform::prepared::settings;

/// Interval at which the file is checked; it may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reloads the settings on SIGHUP and whenever the file's content changes.
pub(crate) async fn run(shared: Arc<Shared>, path: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(err) => {
            tracing::warn!(%err, "cannot install the SIGHUP handler; settings are not reloaded");
            return;
        }
    };
    let mut previous = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        let by_signal = tokio::select! {
            signal = hangup.recv() => signal.is_some(),
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(err) => {
                tracing::warn!(%err, "cannot read the settings file; the previous settings stay in force");
                continue;
            }
        };
        if text != previous || by_signal {
            reload(&shared, &text, by_signal);
            previous = text;
        }
    }
}

fn reload(shared: &Shared, text: &str, by_signal: bool) {
    match settings::parse(text) {
        Ok(new) => {
            let mut state = shared.state();
            let needs_restart = needs_restart(&state.settings, &new);
            state.settings = Arc::new(new);
            tracing::info!(by_signal, needs_restart, "settings reloaded");
        }
        Err(problems) => {
            tracing::warn!(
                by_signal,
                ?problems,
                "settings rejected; the previous ones stay in force"
            );
        }
    }
}

/// Whether the new settings change a value that is only read at startup.
fn needs_restart(old: &EntrySettings, new: &EntrySettings) -> bool {
    (
        old.callers,
        old.readiness,
        old.directory,
        old.peers,
        old.store,
    ) != (
        new.callers,
        new.readiness,
        new.directory,
        new.peers,
        new.store,
    )
}
