//! One entry instance: its tables, its connections to peers and platform.

use std::sync::Arc;

use tokio::runtime::Handle;

use crate::config::ConfigState;
use crate::dispatch::Dispatch;
use crate::dispatch::callers::Callers;
use crate::dispatch::remote_permits::RemotePermits;
use crate::membership::peers::Peers;
use crate::observe::log::LogControl;
use crate::observe::metrics::Metrics;
use crate::platform::budget::StoreBudget;
use crate::platform::store::Store;
use crate::server::permits::Mailboxes;
use crate::settings::Secret;
use crate::tables::Tables;

/// What every part of a running instance works with.
#[derive(Debug)]
pub struct Instance {
    /// The shared tables.
    pub tables: Tables,
    /// The key-value service, within this instance's budget.
    pub store: Store,
    /// The budget of store calls and the calls made so far.
    pub store_budget: Arc<StoreBudget>,
    /// The same store and budget, with the longer timeout of the configuration.
    pub(crate) config_store: Store,
    /// The configuration in force and its documents.
    pub(crate) config: ConfigState,
    /// The other instances.
    pub(crate) peers: Peers,
    /// What the calls share.
    pub(crate) dispatch: Dispatch,
    /// Permits borrowed from other instances.
    pub(crate) remote_permits: RemotePermits,
    /// The callers that have limits.
    pub(crate) callers: Callers,
    /// Answers that other instances have yet to fetch.
    pub(crate) mailboxes: Mailboxes,
    /// Counters and gauges.
    pub(crate) metrics: Metrics,
    /// Level of the log.
    pub(crate) log: LogControl,
    /// Names the instance and its zone on every line of the log, at any level.
    pub(crate) span: tracing::Span,
    /// The runtime of the control thread.
    pub(crate) rt: Handle,
    /// Key that operators show; without one the operators' interface is open.
    pub(crate) operator_key: Option<Secret>,
}
