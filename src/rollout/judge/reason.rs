//! What a decision follows from, with its figures, for the log.

use std::fmt;

use crate::rollout::evidence::Tally;
use crate::rollout::history::{Scope, Window};
use crate::rollout::verdict::Difference;

/// What a decision follows from.
#[derive(Debug, Clone, PartialEq)]
pub enum Reason {
    /// The roll-out was ordered.
    Ordered,
    /// The sample's share follows the rate of requests, a second.
    Rate(f64),
    /// The new version isn't worse than the old one.
    NotWorse {
        /// Its responses so far.
        new: Tally,
        /// Its targets with good responses.
        targets: usize,
    },
    /// The new version is worse.
    Worse(Finding),
    /// The roll-out can't be completed in time.
    TooLate(Missing),
}

/// A difference between the versions, and where it was found.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Finding {
    /// On which requests.
    pub scope: Scope,
    /// In which time.
    pub window: Window,
    /// The difference.
    pub difference: Difference,
}

/// What a larger share, or the completion, lacks.
#[derive(Debug, Clone, PartialEq)]
pub enum Missing {
    /// Usable targets of the new version.
    Targets,
    /// Slots of its targets.
    Slots {
        /// Slots of its usable targets.
        usable: f64,
        /// Slots that are needed.
        needed: f64,
    },
    /// Good responses.
    Responses {
        /// Its responses so far.
        new: Tally,
        /// Its targets with good responses.
        targets: usize,
    },
    /// Certainty that a difference is due to chance.
    Certainty(Finding),
    /// Only time.
    Time,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ordered => f.write_str("ordered"),
            Self::Rate(rate) => write!(f, "{rate:.0} requests a second"),
            Self::NotWorse { new, targets } => {
                write!(f, "not worse than the old version: ")?;
                write_responses(f, *new, *targets)
            }
            Self::Worse(finding) => write!(f, "worse than the old version: {finding}"),
            Self::TooLate(missing) => write!(f, "can't be completed in time: {missing}"),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.difference)?;
        if let Scope::Route(route) = self.scope {
            write!(f, ", on route {route:016x}")?;
        }
        f.write_str(match self.window {
            Window::Whole => ", since the order",
            Window::Recent => ", in the last seconds",
        })
    }
}

impl fmt::Display for Missing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Targets => f.write_str("no usable targets"),
            Self::Slots { usable, needed } => {
                write!(f, "{usable:.0} usable slots, {needed:.0} needed")
            }
            Self::Responses { new, targets } => {
                f.write_str("too few good responses: ")?;
                write_responses(f, *new, *targets)
            }
            Self::Certainty(finding) => write!(f, "possibly worse: {finding}"),
            Self::Time => f.write_str("no time left"),
        }
    }
}

fn write_responses(f: &mut fmt::Formatter<'_>, new: Tally, targets: usize) -> fmt::Result {
    let Tally { good, slow, failed } = new;
    write!(
        f,
        "{good} good, {slow} slow, {failed} failed, {targets} targets with good ones"
    )
}
