//! Converts the client accounts of a configuration, whose keys must not be repeated in errors.

use std::collections::HashSet;

use serde::Deserialize;
use serde_json::Value;

use crate::account::{Account, AccountLimit, KeyDigest};

/// A row of the table of accounts.
#[derive(Deserialize)]
pub(super) struct AccountValue {
    name: Box<str>,
    /// Checked apart, since an error of the decoder would repeat a key.
    #[serde(default)]
    api_keys: Value,
    #[serde(default)]
    priority: Option<u32>,
    #[serde(default)]
    rate_per_s: Option<f64>,
    #[serde(default)]
    burst: Option<f64>,
}

/// Converts the accounts. Two that share a name or a key are an error, since a request's
/// account would be ambiguous.
pub(super) fn convert_accounts(values: &[AccountValue]) -> Result<Vec<Account>, String> {
    let mut names = HashSet::new();
    let mut keys = HashSet::new();
    for value in values {
        if value.name.is_empty() || !names.insert(value.name.clone()) {
            return Err(format!(
                "tenant {:?}: its name is empty or used twice",
                value.name
            ));
        }
        if value.name.chars().any(char::is_control) {
            return Err(format!(
                "tenant {:?}: its name, which is sent in a header, has a control character",
                value.name
            ));
        }
        if !keys_of(value)?
            .iter()
            .all(|key| !key.is_empty() && keys.insert(*key))
        {
            return Err(format!(
                "tenant {}: a key is empty or used twice",
                value.name
            ));
        }
    }
    values.iter().map(convert_account).collect()
}

/// The keys of an account.
///
/// # Errors
/// They are not a list of texts; the error does not contain them.
fn keys_of(value: &AccountValue) -> Result<Vec<&str>, String> {
    let keys = match &value.api_keys {
        Value::Null => Some(Vec::new()),
        Value::Array(keys) => keys.iter().map(Value::as_str).collect(),
        _ => None,
    };
    keys.ok_or_else(|| format!("tenant {}: api_keys must be a list of texts", value.name))
}

fn convert_account(wire: &AccountValue) -> Result<Account, String> {
    let rate = wire.rate_per_s.unwrap_or_default();
    let burst = wire.burst.unwrap_or_default();
    let is_valid = |value: f64| value.is_finite() && value >= 0.0;
    if !is_valid(rate) || !is_valid(burst) {
        return Err(format!(
            "tenant {}: rate_per_s and burst must be numbers that are not negative",
            wire.name
        ));
    }
    let keys = keys_of(wire)?.into_iter();
    Ok(Account {
        name: (&*wire.name).into(),
        keys: keys.map(|key| KeyDigest::of(key.as_bytes())).collect(),
        priority: wire.priority,
        limit: (rate > 0.0).then_some(AccountLimit { rate, burst }),
    })
}
