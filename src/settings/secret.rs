//! Secrets and their sources. Secrets are never printed or logged.

use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;

use http::{HeaderMap, HeaderValue, header};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::error::Error;

/// Authentication scheme that precedes a secret in the authorization header.
const BEARER: &str = "Bearer ";

/// Source of one secret: a file or an environment variable.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SecretSource {
    /// File that holds the secret.
    pub file: Option<PathBuf>,
    /// Environment variable that holds the secret.
    pub env: Option<String>,
}

impl SecretSource {
    /// Reads the secret; `None` when no source is set.
    ///
    /// # Errors
    /// [`Error::ReadFile`] when the file can't be read, [`Error::Invalid`] when
    /// the environment variable is not set or the secret is empty.
    pub fn read(&self) -> Result<Option<Secret>, Error> {
        let secret = match (&self.file, &self.env) {
            (Some(path), _) => std::fs::read_to_string(path).map_err(|source| Error::ReadFile {
                path: path.clone(),
                source,
            })?,
            (None, Some(variable)) => std::env::var(variable).map_err(|_| {
                invalid_secret(format!("environment variable {variable} is not set"))
            })?,
            (None, None) => return Ok(None),
        };
        let secret = secret.trim_end();
        if secret.is_empty() {
            return Err(invalid_secret(
                "a secret's source is empty; write the secret into it".to_owned(),
            ));
        }
        Ok(Some(Secret::new(secret)))
    }

    /// Whether a source is configured.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.file.is_some() || self.env.is_some()
    }

    /// Returns what is wrong with the source, without reading the secret.
    #[must_use]
    pub fn problem(&self) -> Option<&'static str> {
        if self.file.is_some() && self.env.is_some() {
            return Some("name either `file` or `env`, not both");
        }
        None
    }
}

fn invalid_secret(problem: String) -> Error {
    Error::Invalid {
        origin: "secrets".to_owned(),
        problems: vec![problem],
    }
}

/// A secret that is hidden in debug output and compared in constant time.
#[derive(Clone)]
pub struct Secret(Arc<str>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

impl Secret {
    /// Creates a secret from its text.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the authorization header value with the secret; `None` when the secret
    /// has bytes that a header can't hold.
    #[must_use]
    pub fn to_header(&self) -> Option<HeaderValue> {
        let mut value = HeaderValue::from_str(&format!("{BEARER}{}", self.0)).ok()?;
        value.set_sensitive(true);
        Some(value)
    }

    /// Whether the authorization header in `headers` carries this secret.
    #[must_use]
    pub fn matches(&self, headers: &HeaderMap) -> bool {
        let header = headers
            .get(header::AUTHORIZATION)
            .map(HeaderValue::as_bytes);
        let given = header.and_then(|value| value.strip_prefix(BEARER.as_bytes()));
        given.is_some_and(|given| given.ct_eq(self.0.as_bytes()).into())
    }
}
