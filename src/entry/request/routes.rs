//! Finds the route of a request, and the service that gets it.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::entry::model::{Configuration, Route, WeightedService};
use crate::even_sequence::EvenSequence;

/// The routes of a configuration by host.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    hosts: IndexMap<Arc<str>, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Builds the table. The routes of a host are sorted by descending prefix length.
    #[must_use]
    pub fn new(configuration: &Configuration) -> Self {
        let mut hosts: IndexMap<Arc<str>, Vec<Arc<Route>>> = IndexMap::new();
        for route in &configuration.routes {
            let routes = hosts.entry(lower_case(&route.host)).or_default();
            routes.push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { hosts }
    }

    /// Number of routes.
    pub(crate) fn count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// The route with the longest prefix of `path`, for the value of a `Host` header, which
    /// may have a port and the dot of a fully qualified name.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let name = name.strip_suffix('.').unwrap_or(name);
        self.hosts
            .get(&*lower_case(name))?
            .iter()
            .find(|route| path.starts_with(&*route.prefix))
    }
}

fn lower_case(host: &str) -> Arc<str> {
    if host.bytes().any(|b| b.is_ascii_uppercase()) {
        host.to_ascii_lowercase().into()
    } else {
        host.into()
    }
}

/// Distributes a route's requests to its services by weight.
#[derive(Debug, Clone, Copy)]
pub struct WeightedSplitter {
    points: EvenSequence,
}

impl WeightedSplitter {
    /// Starts at a phase in `0.0..1.0`, drawn at random so that instances differ.
    #[must_use]
    pub fn new(phase: f64) -> Self {
        Self {
            points: EvenSequence::new(phase),
        }
    }

    /// The service that gets the next request; `None` without services.
    pub fn next<'a>(&mut self, services: &'a [WeightedService]) -> Option<&'a WeightedService> {
        let total: f64 = services.iter().map(|service| service.weight).sum();
        let mut point = self.points.next() * total;
        for service in services {
            if point < service.weight {
                return Some(service);
            }
            point -= service.weight;
        }
        services.last()
    }
}

#[cfg(test)]
mod tests;
