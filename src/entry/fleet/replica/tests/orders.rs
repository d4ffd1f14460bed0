//! Orders of changes, reads, watches, fetches and restarts. However records and removals
//! travelled, all instances agree with the store once some of them watch it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::*;
use crate::entry::fleet::comparison::Comparisons;
use crate::entry::fleet::source::Lacking;
use crate::units::Time;

const KEYS: u8 = 4;
const INSTANCES: usize = 4;
/// Keys on a page of a read.
const PAGE_SIZE: usize = 2;
/// Exchanges of every instance with every other one after which all must agree. An instance
/// learns of another one's comparison with the next exchange.
const ROUNDS: usize = 12;

type Items = BTreeMap<String, (u64, Option<u16>)>;

/// The platform's store, with its items at each revision of the era. An item without a port
/// is the configuration, of which the revision is the version.
struct Store {
    era: u64,
    revision: u64,
    version: u64,
    compacted: u64,
    at: BTreeMap<u64, Items>,
    events: Vec<Change>,
}

impl Store {
    fn new() -> Self {
        Self {
            era: 0,
            revision: 1,
            version: 0,
            compacted: 0,
            at: BTreeMap::from([(1, Items::new())]),
            events: Vec::new(),
        }
    }

    fn write(&mut self, key: &str, port: Option<u16>) {
        self.revision += 1;
        let mut items = self.at.values().next_back().unwrap().clone();
        let record = match port {
            Some(port) => {
                items.insert(key.to_owned(), (self.revision, Some(port)));
                Some(instance(port))
            }
            None => items.remove(key).and(None),
        };
        self.at.insert(self.revision, items);
        self.events.push(change(key, self.revision, record));
    }

    fn configure(&mut self) {
        self.revision += 1;
        self.version += 1;
        self.events.push(change(
            "c",
            self.revision,
            Some(configuration(self.version)),
        ));
        let mut items = self.at.values().next_back().unwrap().clone();
        items.insert("c".to_owned(), (self.revision, None));
        self.at.insert(self.revision, items);
    }

    /// A change of a key that instances leave out.
    fn write_other(&mut self) {
        self.revision += 1;
        let items = self.at.values().next_back().unwrap().clone();
        self.at.insert(self.revision, items);
    }

    /// Returns from a copy; the operator writes the configuration again.
    fn restore(&mut self, revision: u64) {
        self.era += 1;
        self.revision = revision;
        self.at.retain(|at, _| *at <= revision);
        self.events.retain(|event| event.revision <= revision);
        self.compacted = self.compacted.min(revision);
        self.configure();
    }

    /// A page of a read at a revision: the items behind a key.
    fn page(&self, revision: u64, after: &str) -> Vec<Change> {
        let items = self.at.range(..=revision).next_back().unwrap().1;
        let items = items.iter().filter(|(key, _)| key.as_str() > after);
        items
            .take(PAGE_SIZE)
            .map(|(key, (at, port))| {
                let version = self.events.iter().find(|event| event.revision == *at);
                let record = match port {
                    Some(port) => Some(instance(*port)),
                    None => version.and_then(|event| event.record.clone()),
                };
                change(key, *at, record)
            })
            .collect()
    }

    /// A read page by page, each of them from a replica of some age.
    fn read(&self, mut age: impl FnMut() -> Result<u64>) -> Result<Delta> {
        let (mut changes, mut lowest, mut after) = (Vec::new(), u64::MAX, String::new());
        loop {
            let oldest = *self.at.keys().next().unwrap();
            let revision = self.revision.saturating_sub(age()?).max(oldest);
            lowest = lowest.min(revision);
            let page = self.page(revision, &after);
            let Some(last) = page.last() else {
                return Ok(Delta {
                    era: self.era,
                    ..delta(lowest, true, changes)
                });
            };
            after = last.key.to_string();
            changes.extend(page);
        }
    }

    /// The changes after a position; `None` if everything must be read anew.
    fn watch(&self, position: Position) -> Option<Delta> {
        if position.era != self.era || position.revision < self.compacted {
            return None;
        }
        let events = self.events.iter();
        let events = events.filter(|event| event.revision > position.revision);
        Some(Delta {
            era: self.era,
            ..delta(self.revision, false, events.cloned().collect())
        })
    }

    fn contents(&self) -> Vec<(Arc<str>, u64)> {
        let items = self.at.values().next_back().unwrap().iter();
        let records = items.filter(|(_, (_, port))| port.is_some());
        records
            .map(|(key, (revision, _))| (key.as_str().into(), *revision))
            .collect()
    }
}

#[derive(Default)]
struct Instance {
    replica: Replica,
    comparisons: Comparisons,
}

impl Instance {
    fn version(&self) -> u64 {
        let configuration = self.replica.configuration();
        configuration.map_or(0, |configuration| configuration.version)
    }

    fn watch(&mut self, store: &Store) {
        let delta = store.watch(self.replica.position());
        let reread = || store.read(|| Ok(0)).unwrap();
        self.replica.apply(delta.unwrap_or_else(reread));
    }

    /// Fetches what the statuses of peers show to be lacking here from one of those with the
    /// newest changes, by `draw`; returns whether there was anything.
    fn fetch(&mut self, now: Time, peers: &[&Self], draw: usize) -> bool {
        let started = peers.iter().filter(|peer| peer.replica.revision() > 0);
        let peers: Vec<(Summary, &&Self)> =
            started.map(|peer| (peer.replica.summary(), peer)).collect();
        let summaries: Vec<Summary> = peers.iter().map(|(summary, _)| *summary).collect();
        for summary in &summaries {
            self.replica.take_summary(*summary);
        }
        let due = self.comparisons.are_due(now, &self.replica, &summaries);
        let sources = peers.into_iter().filter_map(|(summary, peer)| {
            let compare = due && self.comparisons.is_new(&self.replica, summary);
            let (replica, version) = (&self.replica, self.version());
            let lacking = Lacking::of(replica, version, summary, peer.version(), compare);
            Some((summary, peer, lacking?))
        });
        let sources: Vec<_> = sources.collect();
        let newest = sources.iter().map(|(summary, ..)| summary.position).max();
        let best = sources.iter();
        let best: Vec<_> = best
            .filter(|(summary, ..)| Some(summary.position) == newest)
            .collect();
        if best.is_empty() {
            return false;
        }
        let (summary, peer, lacking) = best[draw % best.len()];
        let delta = peer.replica.delta_since(lacking.position(&self.replica));
        if *lacking == Lacking::Unknown {
            self.comparisons.record(self.replica.checksum(), *summary);
            let delta = self.replica.as_contradiction(delta, *summary);
            self.replica.apply(delta);
            self.replica.cover_from(*summary);
        } else {
            self.replica.apply(delta);
        }
        true
    }
}

/// An instance and all others.
fn apart(instances: &mut [Instance], index: usize) -> (&mut Instance, Vec<&Instance>) {
    let (before, rest) = instances.split_at_mut(index);
    let (instance, after) = rest.split_first_mut().unwrap();
    (instance, before.iter().chain(after.iter()).collect())
}

fn key(u: &mut Unstructured<'_>) -> Result<String> {
    Ok(format!("k{}", u.int_in_range(0..=KEYS - 1)?))
}

/// One random step of the store or of an instance.
fn step(
    u: &mut Unstructured<'_>,
    now: Time,
    store: &mut Store,
    instances: &mut [Instance],
) -> Result<()> {
    let index = u.choose_index(INSTANCES)?;
    match u.int_in_range(0..=11_u8)? {
        0..=2 => store.write(&key(u)?, Some(u.int_in_range(1..=9_u16)?)),
        3 | 4 => store.write(&key(u)?, None),
        5 => match u.int_in_range(0..=3_u8)? {
            0 => store.configure(),
            1 => store.write_other(),
            2 => store.compacted = store.revision,
            _ => {
                let oldest = *store.at.keys().next().unwrap();
                store.restore(u.int_in_range(oldest..=store.revision)?);
            }
        },
        // A restart, and the first read; the watch that confirms it may fail.
        6 => {
            instances[index] = Instance::default();
            let read = store.read(|| u.int_in_range(0..=4_u64))?;
            instances[index].replica.apply(read);
            if u.arbitrary()? {
                instances[index].watch(store);
            }
        }
        7 => instances[index] = Instance::default(),
        8 => instances[index].watch(store),
        _ => {
            let (instance, mut peers) = apart(instances, index);
            // Heartbeats of some peers have not arrived.
            let known: [bool; INSTANCES] = u.arbitrary()?;
            let mut known = known.iter();
            peers.retain(|_| *known.next().unwrap());
            instance.fetch(now, &peers, u.arbitrary()?);
        }
    }
    Ok(())
}

/// Exchanges between all instances, of which some watch the store, until nobody lacks anything.
fn settle(store: &Store, instances: &mut [Instance], watchers: &[bool]) {
    for round in 1.. {
        let now = Time::ZERO.after(Duration::from_secs(10 * round as u64));
        for (instance, watches) in instances.iter_mut().zip(watchers) {
            if *watches {
                instance.watch(store);
            }
        }
        let mut fetched = false;
        // The second pass is after the time for which those that know all removals wait.
        for now in [now, now.after(Duration::from_secs(5))] {
            for index in 0..INSTANCES {
                let (instance, peers) = apart(instances, index);
                fetched |= instance.fetch(now, &peers, round);
            }
        }
        if !fetched {
            return;
        }
        assert!(round < ROUNDS, "the instances still fetch changes");
    }
}

#[test]
fn no_order_of_reads_watches_fetches_and_restarts_loses_a_record_or_a_removal() {
    arbtest::arbtest(|u| {
        let mut store = Store::new();
        let mut instances: [Instance; INSTANCES] = Default::default();
        for number in 0..u.int_in_range(1..=60_u32)? {
            let now = Time::ZERO.after(Duration::from_millis(100) * number);
            step(u, now, &mut store, &mut instances)?;
        }
        let mut watchers: [bool; INSTANCES] = u.arbitrary()?;
        watchers[u.choose_index(INSTANCES)?] = true;
        settle(&store, &mut instances, &watchers);
        for (index, instance) in instances.iter().enumerate() {
            let mut known = contents(&instance.replica);
            known.retain(|(key, _)| &**key != "c");
            assert_eq!(known, store.contents(), "instance {index}, {watchers:?}");
            assert!(instance.version() >= store.version, "instance {index}");
        }
        Ok(())
    });
}
