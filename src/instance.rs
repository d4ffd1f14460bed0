//! The state of one running entry instance: its tables and its connections to
//! peers and platform.

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

/// The parts of a running instance, shared by its interfaces and control tasks.
#[derive(Debug)]
pub struct Instance {
    /// Configuration, directory, lease and owned shards.
    pub tables: Tables,
    /// Client of the key-value service, limited by `store_budget`.
    pub store: Store,
    /// Budget of store calls, with the count of calls made so far.
    pub store_budget: Arc<StoreBudget>,
    /// Same store and budget as `store`, with the longer timeout of the configuration.
    pub(crate) config_store: Store,
    /// Revision and documents of the configuration in force.
    pub(crate) config: ConfigState,
    /// Connections to the other instances.
    pub(crate) peers: Peers,
    /// State shared by all calls.
    pub(crate) dispatch: Dispatch,
    /// Permits borrowed from other instances.
    pub(crate) remote_permits: RemotePermits,
    /// Limiters of the callers that have limits.
    pub(crate) callers: Callers,
    /// Permit responses that other instances have yet to fetch.
    pub(crate) mailboxes: Mailboxes,
    /// Counters and gauges.
    pub(crate) metrics: Metrics,
    /// Handle that changes the log filter at run time.
    pub(crate) log: LogControl,
    /// Span that adds the instance and its zone to every log line, at any level.
    pub(crate) span: tracing::Span,
    /// Runtime of the control threads.
    pub(crate) rt: Handle,
    /// Key that operators must present; without one their interface is open.
    pub(crate) operator_key: Option<Secret>,
}
