//! Whether a newer configuration than the own one is known.

use super::State;
use crate::entry::request::outcome::Outcome;
use crate::platform::prepared::record;

/// What is known of a configuration that is newer than the own one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum NewerConfiguration {
    /// A peer had this version.
    #[display("version {_0} of a peer")]
    OfPeer(u64),
    /// The store, which accepts only valid ones, has one at this revision that can't be
    /// decoded.
    #[display("undecodable at revision {_0} of the store")]
    Undecodable(u64),
}

impl State {
    /// The outcome of a request that the own configuration denies; a newer one may allow it.
    pub(crate) fn denial(&self, outcome: Outcome) -> Outcome {
        let newer = self.newer_configuration();
        newer.map_or(outcome, |_| Outcome::ConfigurationOutdated)
    }

    /// The outcome of a request beyond a limit of the own configuration if it is not denied.
    pub(crate) fn refusal_over_limit(&self) -> Option<Outcome> {
        if self.status.version == 0 {
            return Some(Outcome::NoConfiguration);
        }
        let newer = self.newer_configuration();
        newer.map(|_| Outcome::ConfigurationOutdated)
    }

    /// A newer configuration than the own one that is known to be in force somewhere.
    pub(crate) fn newer_configuration(&self) -> Option<NewerConfiguration> {
        let of_peer = self.members.newest_version();
        if of_peer > self.status.version {
            return Some(NewerConfiguration::OfPeer(of_peer));
        }
        let undecodable = self.rejected.get(record::CONFIGURATION_KEY)?.revision;
        let own = self.replica.revision_of(record::CONFIGURATION_KEY);
        own.is_none_or(|own| undecodable > own)
            .then_some(NewerConfiguration::Undecodable(undecodable))
    }
}

#[cfg(test)]
mod tests;
