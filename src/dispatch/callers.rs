//! Enforces the limits of callers.
//!
//! Each caller has a coordinator, an instance chosen by rendezvous hashing, which divides
//! the caller's limits among the instances. Every instance reports the caller's demand to
//! the coordinator and enforces the share that it gets.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;

use crate::admission::caller::{CallerLimiter, CallerLimits, Demand, Share};
use crate::admission::share::{SHARE_TTL, ShareAllocator};
use crate::instance::Instance;
use crate::macros::data;
use crate::membership::Member;
use crate::names::{CallerName, InstanceId};
use crate::ownership::placement;
use crate::resource::Resource;
use crate::units::Time;

/// Interval of demand reports to the coordinators.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the response to a demand report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);
/// Idle time after which a caller's limiter is dropped.
const IDLE_CALLER_TTL: Duration = Duration::from_secs(10);

data! {
    /// Demand report of one instance to the coordinator of the named callers.
    pub struct ShareRequest {
        /// The reporting instance.
        pub asker: InstanceId,
        /// One demand for each caller that is active on the instance.
        pub demands: Vec<CallerDemand>,
    }

    /// Demand of one caller on one instance.
    pub struct CallerDemand {
        /// Name of the caller.
        pub caller: CallerName,
        /// Load that the caller puts on the instance.
        pub demand: Demand,
    }

    /// Share of a caller's limits that one instance may use.
    pub struct CallerShare {
        /// Name of the caller.
        pub caller: CallerName,
        /// Limits that the instance enforces.
        pub share: Share,
    }
}

/// Limiters of the callers active on this instance, and share allocators of the callers that it
/// coordinates.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    limiters: Mutex<IndexMap<CallerName, CallerLimiter>>,
    allocators: Mutex<IndexMap<CallerName, ShareAllocator>>,
}

/// Counts an admitted call of a caller with limits as in flight until dropped.
#[derive(Debug)]
pub(crate) struct LimitGuard {
    instance: Arc<Instance>,
    caller: CallerName,
}

impl LimitGuard {
    /// Counts response bytes against the limits.
    pub(crate) fn charge_response_bytes(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        if let Some(limiter) = self.instance.callers.limiters().get_mut(&self.caller) {
            limiter.charge(bytes);
        }
    }
}

impl Drop for LimitGuard {
    fn drop(&mut self) {
        if let Some(limiter) = self.instance.callers.limiters().get_mut(&self.caller) {
            limiter.finish_call();
        }
    }
}

/// Admits a call of `caller`; returns `None` if the caller has no limits.
///
/// # Errors
/// The time after which the caller may retry.
pub(crate) async fn admit(
    instance: &Arc<Instance>,
    caller: &CallerName,
) -> Result<Option<LimitGuard>, Duration> {
    let limits = limits(instance, caller);
    if limits.is_none() {
        return Ok(None);
    }
    let members = instance.tables.directory().members.len();
    let now = instance.tables.clock.now();
    let (report_early, has_share) = instance.callers.limiter(now, caller, |limiter| {
        (limiter.needs_early_report(now), limiter.has_share(now))
    });
    if report_early {
        let report = report(Arc::clone(instance), vec![caller.clone()]);
        if has_share {
            instance.rt.spawn(report);
        } else {
            report.await;
        }
    }
    let now = instance.tables.clock.now();
    let admit = |limiter: &mut CallerLimiter| limiter.admit(now, &limits, members);
    instance.callers.limiter(now, caller, admit)?;
    Ok(Some(LimitGuard {
        instance: Arc::clone(instance),
        caller: caller.clone(),
    }))
}

fn limits(instance: &Instance, caller: &CallerName) -> CallerLimits {
    match instance.tables.config().find("Caller", caller.as_str()) {
        Some(Resource::Caller(declared)) => CallerLimits::from(&declared.spec),
        _ => CallerLimits::default(),
    }
}

/// Reports the demand of active callers to their coordinators at regular intervals.
pub(crate) async fn run(instance: Arc<Instance>) {
    let mut ticks = tokio::time::interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = instance.tables.clock.now();
        let active: Vec<CallerName> = {
            let mut limiters = instance.callers.limiters();
            limiters.retain(|_, limiter| !limiter.is_idle(now, IDLE_CALLER_TTL));
            limiters.keys().cloned().collect()
        };
        instance
            .callers
            .allocators()
            .retain(|_, allocator| !allocator.is_idle(now));
        report(Arc::clone(&instance), active).await;
    }
}

/// Reports the demand of `callers` to their coordinators and applies the returned shares.
async fn report(instance: Arc<Instance>, callers: Vec<CallerName>) {
    let directory = instance.tables.directory();
    let mut by_coordinator = IndexMap::<&InstanceId, (&Member, Vec<CallerDemand>)>::new();
    let now = instance.tables.clock.now();
    for caller in callers {
        let Some(coordinator) = placement::coordinator(&caller, directory.members.values()) else {
            continue;
        };
        let demand = |limiter: &mut CallerLimiter| limiter.demand(now, &coordinator.start);
        let Some(demand) = instance.callers.limiter(now, &caller, demand) else {
            continue;
        };
        let (_, demands) = by_coordinator
            .entry(&coordinator.instance)
            .or_insert_with(|| (coordinator, Vec::new()));
        demands.push(CallerDemand { caller, demand });
    }
    let reports = by_coordinator
        .into_values()
        .map(|(coordinator, demands)| report_to(&instance, coordinator, demands, now));
    futures_util::future::join_all(reports).await;
}

async fn report_to(
    instance: &Arc<Instance>,
    coordinator: &Member,
    demands: Vec<CallerDemand>,
    sent: Time,
) {
    let member = &instance.tables.member;
    let msg = ShareRequest {
        asker: member.instance.clone(),
        demands,
    };
    let shares = if coordinator.start == member.start {
        handle_share_request(instance, msg)
    } else {
        let call = instance
            .peers
            .call(coordinator.peers, "caller_shares", &msg);
        match tokio::time::timeout(REPORT_TIMEOUT, call).await {
            Ok(Ok(shares)) => shares,
            failed => {
                tracing::debug!(home = %coordinator.instance, ?failed, "demand report failed; callers' shares are not renewed");
                return;
            }
        }
    };
    for CallerShare { caller, share } in shares {
        let until = sent.after(SHARE_TTL);
        instance.callers.limiter(sent, &caller, |limiter| {
            limiter.set_share(&coordinator.start, share, until);
        });
    }
}

/// Handles a demand report: returns the reporting instance's shares of the callers that this
/// instance coordinates.
pub(crate) fn handle_share_request(instance: &Instance, msg: ShareRequest) -> Vec<CallerShare> {
    let now = instance.tables.clock.now();
    let members = instance.tables.directory().members.len();
    let limits: Vec<_> = msg
        .demands
        .iter()
        .map(|demand| limits(instance, &demand.caller))
        .collect();
    let mut allocators = instance.callers.allocators();
    let allocate = |(CallerDemand { caller, demand }, limits)| {
        let allocator = allocators
            .entry(caller.clone())
            .or_insert_with(|| ShareAllocator::new(now, true));
        let share = allocator.allocate(now, &msg.asker, demand, &limits, members);
        CallerShare { caller, share }
    };
    msg.demands.into_iter().zip(limits).map(allocate).collect()
}

impl Callers {
    fn limiter<R>(
        &self,
        now: Time,
        caller: &CallerName,
        f: impl FnOnce(&mut CallerLimiter) -> R,
    ) -> R {
        let mut limiters = self.limiters();
        if let Some(limiter) = limiters.get_mut(caller) {
            return f(limiter);
        }
        let limiter = limiters.entry(caller.clone());
        f(limiter.or_insert_with(|| CallerLimiter::new(now)))
    }

    fn limiters(&self) -> MutexGuard<'_, IndexMap<CallerName, CallerLimiter>> {
        self.limiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn allocators(&self) -> MutexGuard<'_, IndexMap<CallerName, ShareAllocator>> {
        self.allocators
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
