//! Which instances are the homes of which client accounts.
//!
//! Accounts are divided into slots by a hash of their names, so that the work for a change
//! of the membership doesn't grow with their number.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use super::members::{Members, hash};
use crate::account::cap::{MAX_HOMES, side_fraction};
use crate::names::{CallerName, ZoneName};
use crate::units::Time;

/// Number of slots; a few for each instance and zone.
const SLOTS: usize = 512;
/// Time for which a new home grants nothing, in which an earlier home that doesn't know of
/// it yet may still grant: what two instances know of the others may differ for a little
/// more than an interval of heartbeats between zones.
const HANDOVER_TIME: Duration = Duration::from_secs(2);
/// The same for a home that would be one if all known instances were live, as after its
/// restart: others take its place only once it has been silent for long, and leave it on its
/// first heartbeat.
const RETURN_TIME: Duration = Duration::from_millis(500);
/// Pause of this process after which its homes start anew: the others may have taken its
/// place meanwhile.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Key of an account in messages between instances.
#[must_use]
pub fn account_key(account: &CallerName) -> u64 {
    hash(&("account", account.as_str()))
}

/// An instance that may be a home.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Candidate {
    address: SocketAddr,
    weight: u64,
    /// Its availability zone, by number.
    zone: usize,
}

#[derive(Debug, Clone, Default)]
struct Slot {
    /// Homes, the first by weight in front.
    homes: Vec<SocketAddr>,
    /// From when this instance grants as one of them.
    grants_from: Option<Time>,
    /// From when it grants as the first.
    first_grants_from: Option<Time>,
}

/// The homes according to the view of one instance.
#[derive(Debug, Clone)]
pub struct Homes {
    own: SocketAddr,
    /// The live instances that are not leaving.
    candidates: Vec<Candidate>,
    /// All known instances that are not leaving.
    known: Vec<Candidate>,
    zones: IndexMap<ZoneName, ()>,
    slots: Vec<Slot>,
    fraction: f64,
    updated_at: Option<Time>,
}

impl Homes {
    /// Creates the state of an instance that knows no other.
    #[must_use]
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            candidates: Vec::new(),
            known: Vec::new(),
            zones: IndexMap::new(),
            slots: vec![Slot::default(); SLOTS],
            fraction: 0.0,
            updated_at: None,
        }
    }

    /// Takes over what is known of the other instances; returns whether homes changed.
    #[expect(
        clippy::cast_precision_loss,
        reason = "some thousand instances at most"
    )]
    pub fn update(
        &mut self,
        now: Time,
        members: &Members,
        own_zone: &ZoneName,
        is_leaving: bool,
    ) -> bool {
        let has_paused = self.updated_at.is_some_and(|at| now.since(at) > MAX_PAUSE);
        self.updated_at = Some(now);
        let zones = &mut self.zones;
        let mut candidate = |address: SocketAddr, zone: &ZoneName| Candidate {
            address,
            weight: hash(&address),
            zone: zones
                .get_index_of(zone)
                .unwrap_or_else(|| zones.insert_full(zone.clone(), ()).0),
        };
        let own = (!is_leaving).then(|| candidate(self.own, own_zone));
        let (mut candidates, mut known): (Vec<_>, Vec<_>) =
            (own.into_iter().collect(), own.into_iter().collect());
        for (address, member) in members.known() {
            if member.status.leaving {
                continue;
            }
            let candidate = candidate(address, &member.zone);
            known.push(candidate);
            if members.is_live(now, address) {
                candidates.push(candidate);
            }
        }
        candidates.sort_unstable_by_key(|candidate| candidate.address);
        self.fraction = side_fraction(candidates.len() as f64 / known.len().max(1) as f64);
        if has_paused {
            for slot in &mut self.slots {
                (slot.grants_from, slot.first_grants_from) = (None, None);
            }
        }
        if candidates == self.candidates && !has_paused {
            return false;
        }
        self.candidates = candidates;
        self.known = known;
        let mut champions = vec![None; self.zones.len()];
        for number in 0..self.slots.len() {
            let homes = choose(number, &self.candidates, &mut champions);
            let slot = &mut self.slots[number];
            let is_home = homes.contains(&self.own);
            let is_first = homes.first() == Some(&self.own);
            let usual = choose(number, &self.known, &mut champions);
            let from = |is_usual: bool| {
                let handover = if is_usual { RETURN_TIME } else { HANDOVER_TIME };
                now.after(handover)
            };
            slot.grants_from = is_home.then(|| {
                slot.grants_from
                    .unwrap_or_else(|| from(usual.contains(&self.own)))
            });
            slot.first_grants_from = is_first.then(|| {
                let is_usual = usual.first() == Some(&self.own);
                slot.first_grants_from.unwrap_or_else(|| from(is_usual))
            });
            slot.homes = homes;
        }
        true
    }

    /// Homes of an account in the order in which this instance asks them: itself, those in
    /// its zone, then the others in an order of its own. `count` is 1 or [`MAX_HOMES`].
    #[must_use]
    pub fn order(&self, account: u64, count: usize) -> Vec<SocketAddr> {
        let homes = self.slot(account).homes.iter();
        let mut order: Vec<SocketAddr> = homes.take(count).copied().collect();
        let own_zone = self.zone_of(self.own);
        order.sort_by_cached_key(|home| {
            let is_other_zone = self.zone_of(*home) != own_zone;
            (*home != self.own, is_other_zone, hash(&(self.own, *home)))
        });
        order
    }

    /// From when this instance grants as one of the homes of an account; `None` if it is
    /// none.
    #[must_use]
    pub fn grants_from(&self, account: u64, count: usize) -> Option<Time> {
        let slot = self.slot(account);
        if count == 1 {
            slot.first_grants_from
        } else {
            slot.grants_from
        }
    }

    /// Fraction of each limit that this instance grants as a home.
    #[must_use]
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    fn slot(&self, account: u64) -> &Slot {
        let slots = u64::try_from(self.slots.len()).unwrap_or(1);
        let number = usize::try_from(account % slots).unwrap_or_default();
        &self.slots[number]
    }

    fn zone_of(&self, address: SocketAddr) -> Option<usize> {
        let found = self
            .candidates
            .binary_search_by_key(&address, |candidate| candidate.address);
        found.ok().map(|index| self.candidates[index].zone)
    }
}

/// The homes of a slot: by rendezvous hash the first of each zone, and the others only if
/// there are too few zones.
fn choose(
    slot: usize,
    candidates: &[Candidate],
    champions: &mut [Option<(u64, SocketAddr)>],
) -> Vec<SocketAddr> {
    let weight = |candidate: &Candidate| {
        let weight = mix(candidate.weight ^ mix(u64::try_from(slot).unwrap_or_default()));
        (weight, candidate.address)
    };
    champions.fill(None);
    for candidate in candidates {
        let champion = &mut champions[candidate.zone];
        *champion = (*champion).max(Some(weight(candidate)));
    }
    let mut first: Vec<(u64, SocketAddr)> = champions.iter().copied().flatten().collect();
    first.sort_unstable_by(|a, b| b.cmp(a));
    if first.len() < MAX_HOMES {
        let mut others: Vec<_> = candidates.iter().map(weight).collect();
        others.retain(|other| !first.contains(other));
        others.sort_unstable_by(|a, b| b.cmp(a));
        first.extend(others);
    }
    let homes = first.into_iter().take(MAX_HOMES);
    homes.map(|(_, address)| address).collect()
}

/// Mixes the bits of a number; the finalizer of `SplitMix64`.
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

#[cfg(test)]
mod tests;
