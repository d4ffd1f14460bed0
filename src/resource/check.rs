//! Validation of resources, individually and as a set.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::{Caller, Rank, Resource, ResourceSet, Service};
use crate::names::PriorityName;

/// Maximum length of a resource's name.
const MAX_NAME_LENGTH: usize = 63;
/// Number of hex digits in the hash of a caller's key.
const KEY_HASH_LENGTH: usize = 64;
/// Maximum slots per target.
const MAX_SLOTS: u32 = 10_000;
/// Maximum queue length per shard.
const MAX_QUEUE_LENGTH: usize = 100_000;
/// Maximum deadline of a service.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

/// Name of the caller to which calls without a key are attributed.
const ANONYMOUS_CALLER: &str = "anonymous";

/// Collects the problems of one resource, each with the path of its field.
struct Problems<'a> {
    /// Kind and name of the resource.
    resource: String,
    lines: &'a mut Vec<String>,
}

impl Problems<'_> {
    /// Adds a problem that states `rule` unless `ok` holds.
    fn check(&mut self, ok: bool, field: &str, rule: &str) {
        if !ok {
            self.lines
                .push(format!("{}: {field}: {rule}", self.resource));
        }
    }
}

impl Resource {
    /// Returns every problem of the resource on its own, one line each. References to other
    /// resources are checked by [`ResourceSet::problems`].
    #[must_use]
    pub fn problems(&self) -> Vec<String> {
        let mut lines = Vec::new();
        let mut problems = Problems {
            resource: format!("{}/{}", self.kind(), self.name()),
            lines: &mut lines,
        };
        let rule = "must be 1 to 63 letters, digits, `-` or `_`, and begin with a letter or digit";
        problems.check(is_valid_name(self.name()), "name", rule);
        match self {
            Self::Service(service) => service.check(&mut problems),
            Self::Caller(caller) => caller.check(&mut problems),
            Self::AvailabilityZone(_) | Self::Priority(_) => {}
        }
        lines
    }
}

/// Returns whether a name can be used in keys and URLs without escaping.
fn is_valid_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    let valid_start = name
        .bytes()
        .next()
        .is_some_and(|b| b.is_ascii_alphanumeric());
    valid_start && name.len() <= MAX_NAME_LENGTH && name.bytes().all(allowed)
}

fn is_valid_host(host: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-.".contains(&b);
    !host.is_empty() && host.bytes().all(allowed)
}

impl Service {
    fn check(&self, problems: &mut Problems<'_>) {
        let spec = &self.spec;
        let slots = spec.target.slots;
        problems.check(
            !spec.hosts.is_empty(),
            "spec.hosts",
            "must name at least one host",
        );
        for (index, host) in spec.hosts.iter().enumerate() {
            let field = format!("spec.hosts[{index}]");
            problems.check(
                is_valid_host(host),
                &field,
                "must be a lower-case host name without a port",
            );
        }
        problems.check(
            (1..=MAX_SLOTS).contains(&slots),
            "spec.target.slots",
            "must be 1 to 10000",
        );
        problems.check(
            spec.target.connections >= 1,
            "spec.target.connections",
            "must be at least 1",
        );
        problems.check(
            spec.queue_length <= MAX_QUEUE_LENGTH,
            "spec.queue_length",
            "must be at most 100000",
        );
        problems.check(
            !spec.deadline.is_zero() && spec.deadline <= MAX_DEADLINE,
            "spec.deadline",
            "must be longer than 0s and at most 1h",
        );
        problems.check(
            spec.urgent_reserve_percent < 100,
            "spec.urgent_reserve_percent",
            "must be below 100, or other calls get no slot",
        );
        for (index, rule) in spec.rules.iter().enumerate() {
            let field = format!("spec.rules[{index}].path");
            problems.check(rule.path.starts_with('/'), &field, "must begin with `/`");
        }
    }

    /// Iterates over the priorities that the service refers to, with the paths of the fields.
    fn priorities(&self) -> impl Iterator<Item = (String, &PriorityName)> {
        let rules = self.spec.rules.iter().enumerate();
        let of_rules = rules.filter_map(|(index, rule)| {
            let priority = rule.priority.as_ref()?;
            Some((format!("spec.rules[{index}].priority"), priority))
        });
        std::iter::once(("spec.priority".to_owned(), &self.spec.priority)).chain(of_rules)
    }
}

impl Caller {
    fn check(&self, problems: &mut Problems<'_>) {
        let anonymous = self.name.as_str() == ANONYMOUS_CALLER;
        match &self.spec.key_sha256 {
            Some(_) if anonymous => problems.check(
                false,
                "spec.key_sha256",
                "must be absent, as `anonymous` stands for calls without a key",
            ),
            Some(hash) => problems.check(
                is_key_hash(hash),
                "spec.key_sha256",
                "must be 64 lower-case hex digits",
            ),
            None => problems.check(
                anonymous,
                "spec.key_sha256",
                "must be given, or no key leads to this caller",
            ),
        }
        let limits = [
            (
                "spec.calls_per_second",
                self.spec.calls_per_second == Some(0),
            ),
            ("spec.in_flight", self.spec.in_flight == Some(0)),
            (
                "spec.bytes_per_second",
                self.spec.bytes_per_second == Some(0),
            ),
        ];
        for (field, zero) in limits {
            problems.check(
                !zero,
                field,
                "must be at least 1; delete the caller to refuse it",
            );
        }
    }
}

fn is_key_hash(hash: &str) -> bool {
    let is_hex_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    hash.len() == KEY_HASH_LENGTH && hash.bytes().all(is_hex_digit)
}

impl ResourceSet {
    /// Returns every problem of the individual resources and of the set as a whole, one line each.
    #[must_use]
    pub fn problems(&self) -> Vec<String> {
        let mut problems: Vec<String> =
            self.resources.iter().flat_map(Resource::problems).collect();
        self.check_references(&mut problems);
        self.check_hosts(&mut problems);
        self.check_keys(&mut problems);
        problems
    }

    /// Returns the properties of a valid set that are likely to be mistakes, one line each.
    #[must_use]
    pub fn warnings(&self) -> Vec<String> {
        let mut warnings = Vec::new();
        if self.find("Caller", ANONYMOUS_CALLER).is_none() {
            warnings
                .push("Caller/anonymous is not declared; calls without a key are refused".into());
        }
        let zones = self.zones().count();
        if zones > 0 && self.zones().all(|zone| !zone.spec.in_service) {
            warnings.push("every AvailabilityZone is out of service; no call is served".into());
        }
        if zones == 0 && self.services().next().is_some() {
            warnings.push("no AvailabilityZone is declared; no target gets work".into());
        }
        let urgent = self
            .priorities()
            .any(|priority| priority.spec.rank == Rank::URGENT);
        if !urgent && self.priorities().next().is_some() {
            warnings.push("no Priority has rank 0; reserved slots stay unused".into());
        }
        for service in self.services() {
            collect_warnings(service, &mut warnings);
        }
        warnings
    }

    /// Returns what refers to a resource or keeps it in use, one line each. A resource with
    /// usages can't be deleted.
    #[must_use]
    pub fn usages(&self, kind: &str, name: &str) -> Vec<String> {
        match kind {
            "Priority" => self.priority_usages(name),
            "AvailabilityZone" => {
                let in_service = self
                    .zones()
                    .any(|zone| zone.name.as_str() == name && zone.spec.in_service);
                let line =
                    format!("AvailabilityZone/{name}: spec.in_service is true; take it out first");
                in_service.then_some(line).into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    fn priority_usages(&self, name: &str) -> Vec<String> {
        let mut usages = Vec::new();
        for service in self.services() {
            for (field, priority) in service.priorities() {
                if priority.as_str() == name {
                    usages.push(format!("Service/{}: {field}", service.name));
                }
            }
        }
        usages
    }

    fn check_references(&self, problems: &mut Vec<String>) {
        for service in self.services() {
            for (field, priority) in service.priorities() {
                if self.find("Priority", priority.as_str()).is_none() {
                    problems.push(format!(
                        "Service/{}: {field}: Priority/{priority} is not declared",
                        service.name
                    ));
                }
            }
        }
    }

    fn check_hosts(&self, problems: &mut Vec<String>) {
        let mut owners: IndexMap<&str, &Service> = IndexMap::new();
        for service in self.services() {
            for (index, host) in service.spec.hosts.iter().enumerate() {
                if let Some(owner) = owners.insert(host, service) {
                    problems.push(format!(
                        "Service/{}: spec.hosts[{index}]: {host} belongs to Service/{} already",
                        service.name, owner.name
                    ));
                }
            }
        }
    }

    fn check_keys(&self, problems: &mut Vec<String>) {
        let mut hashes = IndexSet::new();
        for caller in self.callers() {
            if let Some(hash) = &caller.spec.key_sha256
                && !hashes.insert(hash)
            {
                problems.push(format!(
                    "Caller/{}: spec.key_sha256: another caller has this key",
                    caller.name
                ));
            }
        }
    }
}

fn collect_warnings(service: &Service, warnings: &mut Vec<String>) {
    let name = &service.name;
    let spec = &service.spec;
    if spec.queue_wait > spec.deadline {
        warnings.push(format!(
            "Service/{name}: spec.queue_wait: is longer than spec.deadline"
        ));
    }
    if spec.target.connections < spec.target.slots {
        warnings.push(format!(
            "Service/{name}: spec.target.connections: is below spec.target.slots"
        ));
    }
}

#[cfg(test)]
mod tests;
