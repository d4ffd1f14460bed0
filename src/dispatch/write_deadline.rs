//! Fails a request at its first write if its permit has ended since it was checked,
//! as happens in a process that was paused in between.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::units::{Clock, Time};

#[cfg(test)]
mod tests;

/// Time until which the first byte of the next request may be written.
#[derive(Debug)]
pub(crate) struct WriteDeadline {
    clock: Clock,
    until_us: AtomicU64,
}

impl WriteDeadline {
    /// Creates a deadline that is not set, so that every write passes.
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            until_us: AtomicU64::new(Time::MAX.as_micros()),
        }
    }

    /// Sets the deadline for the first write of the next request.
    pub(crate) fn set(&self, until: Time) {
        self.until_us.store(until.as_micros(), Ordering::Release);
    }

    /// Checks the deadline before a write. The first write after [`WriteDeadline::set`] clears
    /// it, so that the rest of the request is not affected.
    pub(super) fn check(&self) -> io::Result<()> {
        let until = self.until_us.load(Ordering::Acquire);
        if until == Time::MAX.as_micros() {
            return Ok(());
        }
        if self.clock.now() >= Time::from_micros(until) {
            return Err(io::Error::other(
                "the permit ended before the request was written",
            ));
        }
        self.set(Time::MAX);
        Ok(())
    }
}
