//! Model of one claim and its members, which runs the production rules.
//!
//! Every step is one event on one member; a paused member is one that has no
//! events. Time is a step count that all members share. Clocks that differ are
//! not modelled; the margin of the rules allows for them.

mod explore;
mod permits;
mod random;

use std::hash::{Hash, Hasher};
use std::sync::LazyLock;
use std::time::Duration;

use indexmap::IndexSet;

use super::authority::{Authority, Rule, RuleSettings};
use super::electorate::Electorate;
use super::takeover::{LapsedClaim, SilenceReport, may_take_over};
use crate::names::InstanceId;
use crate::units::Time;

const TTL: Duration = Duration::from_secs(1);
/// Maximum number of delayed responses.
const MAX_DELAYED_RESPONSES: usize = 1;

pub(super) fn settings() -> RuleSettings {
    RuleSettings {
        window: Duration::from_secs(2),
        margin: Duration::from_secs(1),
        ..RuleSettings::default()
    }
}

/// Rules without which two members may grant at a time. [`Rule::WithholdSlots`] is
/// not among them: without it the target runs more calls than it has slots.
pub(super) const RULES: [Rule; 4] = [
    Rule::StayExpired,
    Rule::ExtendByQuorum,
    Rule::TakeOverOnEvidence,
    Rule::EvidenceAfterExpiry,
];

/// Settings with one rule disabled.
pub(super) fn with_rule_disabled(rule: Rule) -> RuleSettings {
    RuleSettings {
        disabled: Some(rule),
        ..settings()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Event {
    /// One second passes.
    Tick,
    /// A heartbeat is sent and the response arrives at once.
    Heartbeat { from: usize, to: usize },
    /// A heartbeat is sent and the response is delayed.
    DelayedHeartbeat { from: usize, to: usize },
    /// A delayed response arrives.
    DelayedResponse,
    /// The member renews its lease, or obtains a new one and confirms its
    /// claim.
    RenewLease { member: usize, response_lost: bool },
    /// The member reads the claim from the store.
    ReadClaim { member: usize },
    /// The member takes over the claim, if the rules and the store allow it.
    TakeOver { member: usize, response_lost: bool },
    /// The member's process restarts.
    Restart { member: usize },
    /// The member grants a slot, if it may.
    Grant { member: usize },
    /// The member stops granting and releases the claim.
    ReleaseClaim { member: usize },
}

/// A member and the number of its run.
type Run = (usize, u32);

#[derive(Debug, Clone, Copy, PartialEq, Hash)]
struct Response {
    from: usize,
    to: usize,
    sent: Time,
    run: u32,
    report: Option<SilenceReport>,
    owner_stopped: bool,
    about: Run,
}

#[derive(Debug, Clone)]
struct Node {
    run: u32,
    started: Time,
    authority: Authority,
    /// Version of the claim that the member believes it owns.
    owns: Option<u32>,
    /// Versions of the claim before this one were written before the current
    /// lease.
    first_leased_version: u32,
    lapsed: Option<(u32, Time)>,
    grantor: permits::Grantor,
    reports: Vec<Option<(Run, SilenceReport)>>,
    owner_stopped: Option<(Run, Time)>,
    last_heartbeats: Vec<Option<(u32, Time)>>,
}

#[derive(Debug, Clone)]
pub(super) struct Model {
    settings: RuleSettings,
    now: Time,
    nodes: Vec<Node>,
    version: u32,
    owner: Run,
    electorate: Electorate,
    leases: Vec<Option<(u32, Time)>>,
    delayed: Vec<Response>,
    release: Release,
    running: Vec<permits::RunningCall>,
}

/// Whether the claim has been released.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Release {
    /// The claim is held by its owner.
    Held,
    /// The owner has released the claim while this many permits were in use,
    /// the last of them until `until`.
    Released { permits: u32, until: Time },
}

static NAMES: LazyLock<[InstanceId; 5]> =
    LazyLock::new(|| ["a", "b", "c", "d", "e"].map(InstanceId::from));

fn name(member: usize) -> InstanceId {
    NAMES[member].clone()
}

impl Model {
    /// Creates a model in which member 0 owns the claim and every member has a
    /// new lease.
    pub(super) fn new(count: usize, settings: RuleSettings) -> Self {
        let names: Vec<_> = (0..count).map(name).collect();
        let node = |owns| Node {
            run: 0,
            started: Time::ZERO,
            authority: Authority::new(settings),
            owns,
            first_leased_version: 0,
            lapsed: None,
            grantor: permits::Grantor::default(),
            reports: vec![None; count],
            owner_stopped: None,
            last_heartbeats: vec![Some((0, Time::ZERO)); count],
        };
        let mut model = Self {
            settings,
            now: Time::ZERO,
            nodes: (0..count)
                .map(|index| node((index == 0).then_some(1)))
                .collect(),
            version: 1,
            owner: (0, 0),
            electorate: Electorate::of(&names[0], names.iter()),
            leases: vec![Some((0, Time::ZERO.after(TTL))); count],
            delayed: Vec::new(),
            release: Release::Held,
            running: Vec::new(),
        };
        for node in &mut model.nodes {
            node.authority.lease_renewed(Time::ZERO, TTL);
        }
        model.nodes[0]
            .authority
            .set_electorates(IndexSet::from([model.electorate.clone()]));
        model
    }

    pub(super) fn now(&self) -> Time {
        self.now
    }

    /// Whether another member than the initial owner holds the claim.
    pub(super) fn is_taken_over(&self) -> bool {
        self.owner.0 != 0
    }

    /// Hashes the state that later steps depend on. This excludes what a member
    /// knows of previous owners, and the responses received by members that own
    /// nothing.
    pub(super) fn hash_state(&self, hasher: &mut impl Hasher) {
        (
            self.now,
            self.version,
            self.owner,
            &self.leases,
            &self.delayed,
        )
            .hash(hasher);
        for node in &self.nodes {
            let about_owner = |(about, _): &(Run, SilenceReport)| *about == self.owner;
            let reports = node.reports.iter().map(|report| report.filter(about_owner));
            let stopped = node.owner_stopped.filter(|(of, _)| *of == self.owner);
            let last_heartbeat =
                node.last_heartbeats[self.owner.0].filter(|(run, _)| *run == self.owner.1);
            (node.run, node.started, node.owns, node.lapsed).hash(hasher);
            node.first_leased_version.hash(hasher);
            (reports.collect::<Vec<_>>(), stopped, last_heartbeat).hash(hasher);
            if node.owns.is_some() {
                let response_time = |index| node.authority.responses.get(&name(index)).copied();
                let response_times: Vec<Option<Time>> =
                    (0..self.nodes.len()).map(response_time).collect();
                (node.authority.valid_until(), response_times).hash(hasher);
            }
        }
    }

    /// Number of members that would grant the shard's slots now.
    pub(super) fn granting(&self) -> usize {
        let grants = |node: &&Node| node.owns.is_some() && node.authority.is_valid(self.now);
        self.nodes.iter().filter(grants).count()
    }

    pub(super) fn apply(&mut self, event: Event) {
        match event {
            Event::Tick => {
                self.now = self.now.after(Duration::from_secs(1));
                self.end_calls();
            }
            Event::Heartbeat { from, to } => {
                let response = self.respond(from, to);
                self.receive(response);
            }
            Event::DelayedHeartbeat { from, to } => {
                if self.delayed.len() < MAX_DELAYED_RESPONSES {
                    let response = self.respond(from, to);
                    self.delayed.push(response);
                }
            }
            Event::DelayedResponse => {
                if let Some(response) = self.delayed.pop() {
                    self.receive(response);
                }
            }
            Event::RenewLease {
                member,
                response_lost,
            } => self.renew_lease(member, response_lost),
            Event::ReadClaim { member } => self.read_claim(member),
            Event::TakeOver {
                member,
                response_lost,
            } => self.take_over(member, response_lost),
            Event::Restart { member } => self.restart(member),
            Event::Grant { member } => self.grant(member),
            Event::ReleaseClaim { member } => self.release_claim(member),
        }
    }

    fn has_lease(&self, member: usize, run: u32) -> bool {
        self.leases[member].is_some_and(|(of, until)| of == run && self.now < until)
    }

    /// Returns the response of `to` to a heartbeat of `from`, with what `to`
    /// knows of the owner.
    fn respond(&mut self, from: usize, to: usize) -> Response {
        let now = self.now;
        self.nodes[to].last_heartbeats[from] = Some((self.nodes[from].run, now));
        let silent_for = self.silent_for(to);
        let owner = (to, self.nodes[to].run) == self.owner;
        Response {
            from,
            to,
            sent: now,
            run: self.nodes[from].run,
            report: (!owner).then_some(SilenceReport {
                requested_at: now,
                received_at: now,
                silent_for,
            }),
            owner_stopped: owner && !self.nodes[to].authority.is_valid(now),
            about: self.owner,
        }
    }

    /// Time since a member last received a heartbeat from the owner.
    fn silent_for(&self, member: usize) -> Duration {
        let node = &self.nodes[member];
        let since = match node.last_heartbeats[self.owner.0] {
            Some((run, at)) if run == self.owner.1 => at.max(node.started),
            _ => node.started,
        };
        self.now.since(since)
    }

    fn receive(&mut self, response: Response) {
        let now = self.now;
        let node = &mut self.nodes[response.from];
        if node.run != response.run {
            return;
        }
        node.authority
            .peer_responded(now, name(response.to), response.sent);
        if let Some(report) = response.report {
            let report = SilenceReport {
                received_at: now,
                ..report
            };
            node.reports[response.to] = Some((response.about, report));
        }
        if response.owner_stopped {
            node.owner_stopped = Some((response.about, response.sent));
        }
    }

    fn renew_lease(&mut self, member: usize, response_lost: bool) {
        let (now, run) = (self.now, self.nodes[member].run);
        if !self.has_lease(member, run) && self.nodes[member].owns.is_some() {
            if self.nodes[member].owns != Some(self.version) {
                self.nodes[member].owns = None;
                self.nodes[member].grantor.close();
                self.nodes[member].authority.revoke();
                return;
            }
            self.version += 1;
            if !response_lost {
                self.nodes[member].owns = Some(self.version);
            }
        }
        if !self.has_lease(member, run) {
            let confirmed = self.nodes[member].owns.is_some();
            self.nodes[member].first_leased_version = self.version + u32::from(!confirmed);
        }
        self.leases[member] = Some((run, now.after(TTL)));
        if !response_lost {
            self.nodes[member].authority.lease_renewed(now, TTL);
        }
    }

    fn read_claim(&mut self, member: usize) {
        let run = self.nodes[member].run;
        let lapsed = self.release != Release::Held || !self.has_lease(self.owner.0, self.owner.1);
        let owned = self.owner == (member, run) && self.release == Release::Held;
        if owned
            && self.version < self.nodes[member].first_leased_version
            && self.has_lease(member, run)
        {
            // The claim was written before the lease and is rewritten.
            self.version += 1;
        }
        let node = &mut self.nodes[member];
        if owned && self.version >= node.first_leased_version {
            node.owns = Some(self.version);
            node.authority
                .set_electorates(IndexSet::from([self.electorate.clone()]));
            node.lapsed = None;
            return;
        }
        node.owns = None;
        node.grantor.close();
        let known = node.lapsed.filter(|(version, _)| *version == self.version);
        if !lapsed || known.is_none() {
            node.lapsed = lapsed.then_some((self.version, self.now));
        }
    }

    fn take_over(&mut self, member: usize, response_lost: bool) {
        let (now, run) = (self.now, self.nodes[member].run);
        let Some((version, since)) = self.nodes[member].lapsed else {
            return;
        };
        let own_report = SilenceReport {
            requested_at: now,
            received_at: now,
            silent_for: self.silent_for(member),
        };
        let lapsed = LapsedClaim {
            electorate: &self.electorate,
            since,
            owner_stopped: self.nodes[member]
                .owner_stopped
                .and_then(|(about, requested_at)| (about == self.owner).then_some(requested_at)),
        };
        let report = |id: &InstanceId| {
            let index = NAMES.iter().position(|name| name == id)?;
            if index == member {
                return Some(own_report);
            }
            let (about, report) = self.nodes[member].reports[index]?;
            (about == self.owner).then_some(report)
        };
        let released = self.release != Release::Held;
        let swap_succeeds =
            version == self.version && (released || !self.has_lease(self.owner.0, self.owner.1));
        let allowed = released || may_take_over(&self.settings, now, &lapsed, report);
        if !allowed || !swap_succeeds {
            return;
        }
        let names: Vec<_> = (0..self.nodes.len()).map(name).collect();
        self.withhold(member);
        self.owner = (member, run);
        self.release = Release::Held;
        self.version += 1;
        self.electorate = Electorate::of(&names[member], names.iter());
        if !self.has_lease(member, run) {
            self.nodes[member].first_leased_version = self.version;
        }
        self.leases[member] = Some((run, now.after(TTL)));
        if !response_lost {
            self.nodes[member].authority.lease_renewed(now, TTL);
            self.read_claim(member);
        }
    }

    fn restart(&mut self, member: usize) {
        let node = &mut self.nodes[member];
        node.run += 1;
        node.started = self.now;
        node.authority = Authority::new(self.settings);
        node.owns = None;
        node.grantor = permits::Grantor::default();
        node.lapsed = None;
        node.owner_stopped = None;
        node.reports.fill(None);
        node.last_heartbeats.fill(None);
    }
}
