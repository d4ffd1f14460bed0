//! What an instance records of one suspected request, and what it tells its peers of it.

use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use super::Fingerprint;
use crate::units::Time;

/// Keys of the hash that identifies crashes; every instance must use the same.
const HASH_KEYS: (u64, u64) = (0x7175_6172_616e_7469, 0x6e65_5f63_7261_7368);
/// Maximum number of crashes of a request that are recorded, and of those that a response
/// has cleared it of; no setting of [`QuarantineSettings::crashes_to_block`] is higher.
pub const MAX_CRASHES: usize = 3;
/// How often a change of a record is sent to its receivers, of which each may lose some.
const NEWS_SENDS: u8 = 3;

/// A request that was running on a target when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Case {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Number of crashes attributed to it.
    pub deaths: u32,
    /// Remaining time for which it is blocked, in milliseconds; zero for a suspect.
    pub held_ms: u64,
}

/// Identifies the crash of one run of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashId(u32);

impl CrashId {
    /// Id of the crash of a run with this key.
    #[must_use]
    pub fn of_run(run: u64) -> Self {
        Self::hash(&run)
    }

    pub(super) fn hash(value: &impl Hash) -> Self {
        let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
        value.hash(&mut hasher);
        let hash = hasher.finish();
        Self(u32::try_from(hash >> 32).unwrap_or_default())
    }
}

/// The crashes that an instance attributes to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Crashes during which it was running.
    pub crashes: Vec<CrashId>,
    /// Crashes that it has not caused, as a target has responded to it since.
    pub cleared: Vec<CrashId>,
}

/// Peers to which news are sent apart from the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// Those in the own zone.
    OwnZone,
    /// Those in other zones.
    OtherZones,
}

/// To whom the news in the evidence of a peer are passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PassOn {
    /// To nobody: the peer tells all others itself.
    No,
    /// To the peers in the own zone, of which the peer tells only a few.
    OwnZone,
}

/// How often a record is still to be sent as news.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct PendingNews {
    own_zone: u8,
    other_zones: u8,
}

impl PendingNews {
    pub(super) const ALL: Self = Self {
        own_zone: NEWS_SENDS,
        other_zones: NEWS_SENDS,
    };

    pub(super) fn left(self, audience: Audience) -> u8 {
        match audience {
            Audience::OwnZone => self.own_zone,
            Audience::OtherZones => self.other_zones,
        }
    }

    /// Sends it in the own zone.
    pub(super) fn pass_on(&mut self) {
        self.own_zone = NEWS_SENDS;
    }

    pub(super) fn record_sent(&mut self, audience: Audience) {
        let left = match audience {
            Audience::OwnZone => &mut self.own_zone,
            Audience::OtherZones => &mut self.other_zones,
        };
        *left = left.saturating_sub(1);
    }
}

#[derive(Debug, Clone, Default)]
pub(super) struct Record {
    pub(super) crashes: Vec<CrashId>,
    pub(super) cleared: Vec<CrashId>,
    /// Number of crashes reported by earlier releases, which report no ids.
    pub(super) reported: u32,
    pub(super) blocked_until: Time,
    pub(super) suspect_until: Time,
    /// How often it is still to be sent as news.
    pub(super) news: PendingNews,
    /// Number of the report to peers that last contained it; 0 before the first.
    pub(super) reported_in: u64,
}

impl Record {
    pub(super) fn deaths(&self) -> u32 {
        let crashes = u32::try_from(self.crashes.len()).unwrap_or(u32::MAX);
        crashes.max(self.reported)
    }

    pub(super) fn evidence(&self, fingerprint: Fingerprint) -> Evidence {
        Evidence {
            fingerprint,
            crashes: self.crashes.clone(),
            cleared: self.cleared.clone(),
        }
    }

    pub(super) fn case(&self, now: Time, fingerprint: Fingerprint) -> Case {
        Case {
            fingerprint,
            deaths: self.deaths(),
            held_ms: u64::try_from(self.blocked_until.since(now).as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Adds a crash unless there are [`MAX_CRASHES`]; returns whether it is new.
    pub(super) fn add_crash(&mut self, crash: CrashId) -> bool {
        let is_new = self.crashes.len() < MAX_CRASHES
            && !self.crashes.contains(&crash)
            && !self.cleared.contains(&crash);
        if is_new {
            self.crashes.push(crash);
            self.news = PendingNews::ALL;
        }
        is_new
    }

    /// Clears the request of a crash; returns whether that is new.
    pub(super) fn clear(&mut self, crash: CrashId) -> bool {
        self.crashes.retain(|known| *known != crash);
        let is_new = !self.cleared.contains(&crash);
        if is_new {
            self.cleared.push(crash);
            self.news = PendingNews::ALL;
        }
        while self.cleared.len() > MAX_CRASHES {
            self.cleared.remove(0);
        }
        is_new
    }
}
