//! The limits of callers: gates on this instance, and shares from each
//! caller's home.

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

/// Time between two reports of a caller to its home.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Longest wait for a share.
const REPORT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which a caller that has gone is forgotten.
const CALLER_LIFE: Duration = Duration::from_secs(10);

data! {
    /// What callers ask of one instance, told to their home.
    pub struct ShareAsk {
        /// The instance.
        pub asker: InstanceId,
        /// The demands.
        pub demands: Vec<CallerDemand>,
    }

    /// What one caller asks of one instance.
    pub struct CallerDemand {
        /// The caller.
        pub caller: CallerName,
        /// Its demand.
        pub demand: Demand,
    }

    /// The share that an instance gets of a caller's limits.
    pub struct CallerShare {
        /// The caller.
        pub caller: CallerName,
        /// The share.
        pub share: Share,
    }
}

/// The callers that have limits.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    gates: Mutex<IndexMap<CallerName, CallerLimiter>>,
    homes: Mutex<IndexMap<CallerName, ShareAllocator>>,
}

/// An admitted call of a caller with limits; it ends when it is dropped.
#[derive(Debug)]
pub(crate) struct Pass {
    instance: Arc<Instance>,
    caller: CallerName,
}

impl Pass {
    /// Counts bytes of the answer.
    pub(crate) fn charge(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        if let Some(gate) = self.instance.callers.gates().get_mut(&self.caller) {
            gate.charge(bytes);
        }
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        if let Some(gate) = self.instance.callers.gates().get_mut(&self.caller) {
            gate.finish_call();
        }
    }
}

/// Admits a call of `caller`; `None` when the caller has no limits.
///
/// # Errors
/// The time after which the caller may come back.
pub(crate) async fn admit(
    instance: &Arc<Instance>,
    caller: &CallerName,
) -> Result<Option<Pass>, Duration> {
    let limits = limits(instance, caller);
    if limits.is_none() {
        return Ok(None);
    }
    let members = instance.tables.directory().members.len();
    let now = instance.tables.clock.now();
    let (early, has_share) = instance.callers.gate(now, caller, |gate| {
        (gate.needs_early_report(now), gate.has_share(now))
    });
    if early {
        let report = report(Arc::clone(instance), vec![caller.clone()]);
        if has_share {
            instance.rt.spawn(report);
        } else {
            report.await;
        }
    }
    let now = instance.tables.clock.now();
    let admit = |gate: &mut CallerLimiter| gate.admit(now, &limits, members);
    instance.callers.gate(now, caller, admit)?;
    Ok(Some(Pass {
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

/// Reports the present callers to their homes, again and again.
pub(crate) async fn run(instance: Arc<Instance>) {
    let mut ticks = tokio::time::interval(REPORT_PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now = instance.tables.clock.now();
        let present: Vec<CallerName> = {
            let mut gates = instance.callers.gates();
            gates.retain(|_, gate| !gate.is_idle(now, CALLER_LIFE));
            gates.keys().cloned().collect()
        };
        instance
            .callers
            .homes()
            .retain(|_, home| !home.is_idle(now));
        report(Arc::clone(&instance), present).await;
    }
}

/// Reports callers to their homes and takes their shares in.
async fn report(instance: Arc<Instance>, callers: Vec<CallerName>) {
    let directory = instance.tables.directory();
    let mut by_home = IndexMap::<&InstanceId, (&Member, Vec<CallerDemand>)>::new();
    let now = instance.tables.clock.now();
    for caller in callers {
        let Some(home) = placement::coordinator(&caller, directory.members.values()) else {
            continue;
        };
        let demand = |gate: &mut CallerLimiter| gate.demand(now, &home.start);
        let Some(demand) = instance.callers.gate(now, &caller, demand) else {
            continue;
        };
        let (_, demands) = by_home
            .entry(&home.instance)
            .or_insert_with(|| (home, Vec::new()));
        demands.push(CallerDemand { caller, demand });
    }
    let reports = by_home
        .into_values()
        .map(|(home, demands)| report_to(&instance, home, demands, now));
    futures_util::future::join_all(reports).await;
}

async fn report_to(
    instance: &Arc<Instance>,
    home: &Member,
    demands: Vec<CallerDemand>,
    sent: Time,
) {
    let me = &instance.tables.member;
    let msg = ShareAsk {
        asker: me.instance.clone(),
        demands,
    };
    let shares = if home.start == me.start {
        share(instance, msg)
    } else {
        let call = instance.peers.call(home.peers, "caller_shares", &msg);
        match tokio::time::timeout(REPORT_TIMEOUT, call).await {
            Ok(Ok(shares)) => shares,
            failed => {
                tracing::debug!(home = %home.instance, ?failed, "no shares of callers");
                return;
            }
        }
    };
    for CallerShare { caller, share } in shares {
        let until = sent.after(SHARE_TTL);
        instance.callers.gate(sent, &caller, |gate| {
            gate.set_share(&home.start, share, until);
        });
    }
}

/// Gives an instance its shares of the callers whose home this instance is.
pub(crate) fn share(instance: &Instance, msg: ShareAsk) -> Vec<CallerShare> {
    let now = instance.tables.clock.now();
    let members = instance.tables.directory().members.len();
    let limits: Vec<_> = msg
        .demands
        .iter()
        .map(|demand| limits(instance, &demand.caller))
        .collect();
    let mut homes = instance.callers.homes();
    let give = |(CallerDemand { caller, demand }, limits)| {
        let home = homes
            .entry(caller.clone())
            .or_insert_with(|| ShareAllocator::new(now, true));
        let share = home.allocate(now, &msg.asker, demand, &limits, members);
        CallerShare { caller, share }
    };
    msg.demands.into_iter().zip(limits).map(give).collect()
}

impl Callers {
    fn gate<R>(
        &self,
        now: Time,
        caller: &CallerName,
        f: impl FnOnce(&mut CallerLimiter) -> R,
    ) -> R {
        let mut gates = self.gates();
        if let Some(gate) = gates.get_mut(caller) {
            return f(gate);
        }
        let gate = gates.entry(caller.clone());
        f(gate.or_insert_with(|| CallerLimiter::new(now)))
    }

    fn gates(&self) -> MutexGuard<'_, IndexMap<CallerName, CallerLimiter>> {
        self.gates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn homes(&self) -> MutexGuard<'_, IndexMap<CallerName, ShareAllocator>> {
        self.homes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
