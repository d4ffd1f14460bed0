use std::time::Duration;

use http::HeaderValue;

use super::*;
use crate::entry::settings::{AccountSettings, Tuning};
use crate::entry::testing;

const SETTINGS: AccountSettings = AccountSettings {
    window: Duration::from_secs(5),
    over: 0.1,
    slack: 20.0,
    fail_closed: true,
    revoke_time: Duration::from_secs(5),
};

fn state(settings: Option<AccountSettings>, accounts: Option<&[Account]>) -> State {
    let mut entry_settings = testing::settings([127, 0, 0, 1], "a");
    entry_settings.accounts = settings;
    let mut state = State::new(entry_settings, Tuning::default(), Time::ZERO);
    state.accounts = accounts.map(AccountTable::new);
    state
}

fn account() -> Account {
    Account {
        name: "acme".into(),
        keys: vec![KeyDigest::of(b"k1")],
        priority: None,
        limit: None,
    }
}

fn route(public: bool) -> Route {
    let mut route = testing::configuration().routes.remove(0);
    route.public = public;
    route
}

/// Name of the account, or the outcome, of a request with these `Authorization` headers.
fn authenticate(state: &State, now: Time, public: bool, values: &[&str]) -> String {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_str(value).unwrap();
        headers.append(http::header::AUTHORIZATION, value);
    }
    match state.authenticate(now, &route(public), &headers) {
        Ok(account) => account.map_or("none".into(), |account| account.name.to_string()),
        Err(outcome) => outcome.to_string(),
    }
}

#[test]
fn a_request_needs_a_key_unless_its_route_is_public() {
    let state = state(None, Some(&[account()]));
    for (values, expected, expected_public) in [
        (&["Bearer k1"][..], "acme", "acme"),
        (&["Bearer k2"], "key_rejected", "none"),
        (&["Basic k1"], "key_rejected", "none"),
        (&["Bearer k1", "Bearer k1"], "key_rejected", "none"),
        (&[], "key_rejected", "none"),
    ] {
        let seen = [false, true].map(|public| authenticate(&state, Time::ZERO, public, values));
        assert_eq!(seen, [expected, expected_public], "{values:?}");
    }
}

#[test]
fn keys_are_needed_where_there_are_accounts_or_limits_for_them() {
    let outcome = |settings, accounts| {
        let state = state(settings, accounts);
        authenticate(&state, Time::ZERO, false, &["Bearer k2"])
    };
    let open = AccountSettings {
        fail_closed: false,
        ..SETTINGS
    };
    assert_eq!(outcome(None, None), "none");
    assert_eq!(outcome(None, Some(&[][..])), "none");
    assert_eq!(outcome(Some(open), Some(&[])), "key_rejected");
    assert_eq!(outcome(Some(open), None), "keys_unknown");
}

#[test]
fn an_instance_without_news_of_withdrawn_keys_serves_only_where_it_may() {
    let open = AccountSettings {
        fail_closed: false,
        ..SETTINGS
    };
    let at = |millis| Time::ZERO.after(Duration::from_millis(millis));
    for (settings, expected) in [(SETTINGS, "keys_unknown"), (open, "acme")] {
        let mut state = state(Some(settings), Some(&[account()]));
        let admitted =
            |state: &State, now, public| authenticate(state, now, public, &["Bearer k1"]);
        assert_eq!(admitted(&state, at(0), false), expected, "before any news");
        state.record_store_answer(at(100));
        state.update_outage(at(3000));
        assert_eq!(admitted(&state, at(5099), false), "acme");
        assert_eq!(admitted(&state, at(5100), false), expected);
        assert_eq!(
            admitted(&state, at(5100), true),
            "acme",
            "on a public route"
        );
    }
}
