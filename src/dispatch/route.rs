//! Routing: service, caller and policy of a call, by its host, method, path and API key.
//!
//! The tables are built once when a configuration comes into force, so that a call
//! costs one lookup by host and one by key, however many services are declared.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use indexmap::IndexMap;
use sha2::{Digest, Sha256};

use super::kind::ErrorKind;
use crate::names::{CallerName, ServiceName, ShardId, ZoneName};
use crate::resource::{PathRule, Rank, ResourceSet, Service};

/// Name of the caller that calls without a key are attributed to.
const ANONYMOUS: &str = "anonymous";

/// Lookup tables of a configuration.
#[derive(Debug, Default)]
pub struct Routes {
    by_host: IndexMap<String, Arc<Route>>,
    by_key: IndexMap<String, CallerName>,
    anonymous: Option<CallerName>,
}

/// Routing data of one service.
#[derive(Debug)]
pub struct Route {
    /// Name of the service.
    pub service: ServiceName,
    /// Time limit of a call whose caller sets none.
    pub deadline: Duration,
    /// Shards of the service in zones that are in service.
    pub shards: Vec<ShardId>,
    default_policy: CallPolicy,
    /// Sorted by descending path length, so that the first match is the longest.
    rules: Vec<Rule>,
}

#[derive(Debug)]
struct Rule {
    rule: PathRule,
    policy: CallPolicy,
}

/// Priority and repeatability of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallPolicy {
    /// Rank of the call's priority.
    pub rank: Rank,
    /// Whether no declared priority is more urgent.
    pub urgent: bool,
    /// Whether it may run more than once; `None` leaves it to the method.
    repeatable: Option<bool>,
}

impl Routes {
    /// Builds the lookup tables of a configuration.
    #[must_use]
    pub fn build(set: &ResourceSet) -> Self {
        let mut routes = Self::default();
        let context = BuildContext::new(set);
        for service in set.services() {
            let route = Arc::new(Route::build(&context, service));
            for host in &service.spec.hosts {
                routes
                    .by_host
                    .insert(host.to_ascii_lowercase(), Arc::clone(&route));
            }
        }
        for caller in set.callers() {
            match &caller.spec.key_sha256 {
                Some(key) => {
                    routes.by_key.insert(key.clone(), caller.name.clone());
                }
                None if caller.name.as_str() == ANONYMOUS => {
                    routes.anonymous = Some(caller.name.clone());
                }
                None => {}
            }
        }
        routes
    }

    /// Returns the route of a host name, in any case.
    ///
    /// # Errors
    /// [`ErrorKind::UnknownService`] if no service declares the host.
    pub fn route(&self, host: &str) -> Result<&Arc<Route>, ErrorKind> {
        let route = self.by_host.get(host);
        route
            .or_else(|| self.by_host.get(&host.to_ascii_lowercase()))
            .ok_or(ErrorKind::UnknownService)
    }

    /// Returns the caller that `key` belongs to, or the anonymous caller without a key.
    ///
    /// # Errors
    /// [`ErrorKind::UnknownCaller`] if no caller declares the key, or if there is no
    /// key and no anonymous caller is declared.
    pub fn caller(&self, key: Option<&[u8]>) -> Result<&CallerName, ErrorKind> {
        let caller = match key {
            None => self.anonymous.as_ref(),
            Some(key) => self.by_key.get(&sha256_hex(key)),
        };
        caller.ok_or(ErrorKind::UnknownCaller)
    }
}

impl Route {
    fn build(context: &BuildContext<'_>, service: &Service) -> Self {
        let spec = &service.spec;
        let policy = |rule: Option<&PathRule>| {
            let priority = rule
                .and_then(|rule| rule.priority.as_ref())
                .unwrap_or(&spec.priority);
            let rank = context.set.rank(priority);
            CallPolicy {
                rank,
                urgent: context.most_urgent == Some(rank),
                repeatable: rule.and_then(|rule| rule.repeatable),
            }
        };
        let mut rules: Vec<_> = spec
            .rules
            .iter()
            .map(|rule| Rule {
                policy: policy(Some(rule)),
                rule: rule.clone(),
            })
            .collect();
        rules.sort_by_key(|rule| std::cmp::Reverse(rule.rule.path.len()));
        Self {
            service: service.name.clone(),
            deadline: spec.deadline,
            shards: context.shards(service),
            default_policy: policy(None),
            rules,
        }
    }

    /// Returns the policy of a call: that of the longest matching path rule, or the
    /// service's default.
    #[must_use]
    pub fn policy(&self, method: &Method, path: &str) -> CallPolicy {
        let rule = self
            .rules
            .iter()
            .find(|rule| rule.rule.covers(method.as_str(), path));
        rule.map_or(self.default_policy, |rule| rule.policy)
    }
}

impl CallPolicy {
    /// Whether a call of this method may run more than once; safe methods may by default.
    #[must_use]
    pub fn repeatable(&self, method: &Method) -> bool {
        self.repeatable.unwrap_or_else(|| method.is_safe())
    }
}

/// Values that all routes of a configuration share, computed once.
struct BuildContext<'a> {
    set: &'a ResourceSet,
    most_urgent: Option<Rank>,
    zones: Vec<&'a ZoneName>,
}

impl<'a> BuildContext<'a> {
    fn new(set: &'a ResourceSet) -> Self {
        let in_service = set.zones().filter(|zone| zone.spec.in_service);
        Self {
            most_urgent: set.priorities().map(|priority| priority.spec.rank).min(),
            zones: in_service.map(|zone| &zone.name).collect(),
            set,
        }
    }

    fn shards(&self, service: &Service) -> Vec<ShardId> {
        let zones = self.zones.iter();
        zones
            .map(|zone| ShardId::from((&service.name, *zone)))
            .collect()
    }
}

/// SHA-256 of a key in lower-case hex, the form of `key_sha256` in the configuration.
fn sha256_hex(key: &[u8]) -> String {
    use std::fmt::Write;

    let mut text = String::with_capacity(2 * Sha256::output_size());
    for byte in Sha256::digest(key) {
        // Writing to a string never fails.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

#[cfg(test)]
mod tests;
