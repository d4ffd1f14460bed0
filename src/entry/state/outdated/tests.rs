use super::*;
use crate::entry::fleet::members::InstanceStatus;
use crate::entry::fleet::message::RelayedStatus;
use crate::entry::fleet::replica::Delta;
use crate::entry::model::{Change, Configuration, Record};
use crate::entry::settings::Tuning;
use crate::entry::testing::{configuration, settings};
use crate::platform::prepared::store::RejectedRecord;
use crate::units::Time;

/// A state with this configuration at the revision of the same number.
fn state(version: u64) -> State {
    let mut state = State::new(settings([127, 0, 0, 1], "a"), Tuning::default(), Time::ZERO);
    put(&mut state, 0, version);
    state
}

fn put(state: &mut State, era: u64, version: u64) {
    let configuration = Configuration {
        version,
        ..configuration()
    };
    let change = Change {
        key: record::CONFIGURATION_KEY.into(),
        revision: version,
        record: Some(Record::Configuration(configuration.into())),
    };
    let delta = Delta {
        era,
        revision: version,
        complete: true,
        changes: vec![change],
    };
    state.apply(Time::ZERO, delta, "store");
}

fn reject(state: &mut State, revision: u64) {
    let rejected = RejectedRecord {
        key: record::CONFIGURATION_KEY.into(),
        revision,
        problem: "unknown".into(),
        is_later: false,
    };
    state.rejected.insert(rejected.key.clone(), rejected);
}

/// The store has acknowledged a version that an instance had, whatever became of that.
#[test]
fn a_version_that_a_peer_had_is_known_until_the_own_one_is_as_new() {
    let mut state = state(5);
    for version in [9, 7] {
        let peer = RelayedStatus {
            address: ([127, 0, 0, 2], 7000).into(),
            zone: "a".into(),
            status: InstanceStatus {
                version,
                ..InstanceStatus::default()
            },
            age_ms: 0,
        };
        state.receive_relayed(Time::ZERO, &[peer]);
        let of_peer = Some(NewerConfiguration::OfPeer(9));
        assert_eq!(state.newer_configuration(), of_peer);
    }
    state
        .members
        .remove_silent(Time::from_secs(1 << 20), |_| false);
    assert_eq!(state.members.known().count(), 0);
    assert_eq!(
        state.denial(Outcome::NoRoute),
        Outcome::ConfigurationOutdated
    );
    put(&mut state, 0, 9);
    assert_eq!(state.denial(Outcome::NoRoute), Outcome::NoRoute);
}

#[test]
fn a_configuration_that_cannot_be_decoded_is_newer_until_a_later_one() {
    let mut state = state(5);
    reject(&mut state, 4);
    assert_eq!(state.newer_configuration(), None);
    reject(&mut state, 8);
    let undecodable = Some(NewerConfiguration::Undecodable(8));
    assert_eq!(state.newer_configuration(), undecodable);
    put(&mut state, 0, 9);
    assert_eq!(state.newer_configuration(), None);
    // A copy of the store goes on from an earlier revision.
    reject(&mut state, 20);
    put(&mut state, 1, 10);
    assert_eq!(state.newer_configuration(), None);
}
