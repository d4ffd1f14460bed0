//! Errors that end a command, with hints on what to change.

use std::path::PathBuf;

use derive_more::{Display, Error};

/// An error that ends a command of this program.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The settings file can't be read.
    #[display("cannot read {}: {source}; check the path and its permissions", path.display())]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The settings or resources are invalid; each problem is listed on a line.
    #[display("{origin} has {} problem(s):{}", problems.len(), bullet_list(problems))]
    Invalid {
        /// Name of the file or other source of the text.
        origin: String,
        /// One line per problem, with the path of the field.
        #[error(not(source))]
        problems: Vec<String>,
    },
    /// Listening on an address failed.
    #[display("cannot listen on {address}: {source}; choose a free address in the settings")]
    Listen {
        /// The address from the settings.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The instance can't be reached or its response can't be read.
    #[display("no answer from {address}: {reason}; check --address and that the instance runs")]
    Unreachable {
        /// Address that the request was sent to.
        address: String,
        /// Cause of the failure.
        #[error(not(source))]
        reason: String,
    },
    /// The instance refused the command.
    #[display("refused with status {status}: {detail}")]
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// Explanation from the instance's response.
        #[error(not(source))]
        detail: String,
    },
    /// The resources were changed by another operator in the meantime.
    #[display("{detail}")]
    Conflict {
        /// Explanation from the instance's response, with the current revision.
        #[error(not(source))]
        detail: String,
    },
    /// The process can't be started, or its output can't be encoded.
    #[display("cannot start: {_0}")]
    Start(#[error(not(source))] String),
    /// A task that the process needs failed.
    #[display("a needed task failed: {_0}; start it again, and report the panic in its log")]
    TaskFailed(#[error(not(source))] String),
}

impl Error {
    /// Returns the exit code that the command's help documents for this error.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::ReadFile { .. } | Self::Invalid { .. } => 2,
            Self::Listen { .. } | Self::Start(_) | Self::TaskFailed(_) => 3,
            Self::Unreachable { .. } => 4,
            Self::Refused { .. } => 5,
            Self::Conflict { .. } => 6,
        }
    }
}

fn bullet_list(problems: &[String]) -> String {
    let mut text = String::new();
    for line in problems {
        text.push_str("\n  - ");
        text.push_str(line);
    }
    text
}
