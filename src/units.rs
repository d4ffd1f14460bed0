//! Types for time and size, and their text forms in JSON.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use serde_with::{DeserializeAs, SerializeAs};

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SEC: u64 = 1_000_000;

/// A point in time on this process's monotonic clock, in microseconds since the
/// clock's start.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// The time at which the clock started.
    pub const ZERO: Self = Self(0);
    /// The largest time, which no clock reaches.
    pub const MAX: Self = Self(u64::MAX);

    /// Builds a time from microseconds since the clock's start.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Builds a time from milliseconds since the clock's start.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * MICROS_PER_MILLI)
    }

    /// Builds a time from seconds since the clock's start.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * MICROS_PER_SEC)
    }

    /// Returns the microseconds since the clock's start.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `duration` after this one, saturating.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(micros(duration)))
    }

    /// Returns the time `duration` before this one, saturating at the clock's start.
    #[must_use]
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(micros(duration)))
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// A monotonic clock that measures [`Time`] since it was started.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: std::time::Instant,
}

impl Clock {
    /// Starts a clock at [`Time::ZERO`].
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: std::time::Instant::now(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        Time(micros(self.start.elapsed()))
    }
}

/// A size in bytes, written as `64KiB` or `1MiB` in JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteSize(pub u64);

impl ByteSize {
    /// Builds a size from kibibytes.
    #[must_use]
    pub const fn kib(count: u64) -> Self {
        Self(count << 10)
    }

    /// Builds a size from mebibytes.
    #[must_use]
    pub const fn mib(count: u64) -> Self {
        Self(count << 20)
    }

    /// Returns the size as a `usize`, saturating.
    #[must_use]
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (count, unit) = match self.0 {
            bytes if bytes != 0 && bytes % (1 << 20) == 0 => (bytes >> 20, "MiB"),
            bytes if bytes != 0 && bytes % (1 << 10) == 0 => (bytes >> 10, "KiB"),
            bytes => (bytes, "B"),
        };
        write!(f, "{count}{unit}")
    }
}

impl std::str::FromStr for ByteSize {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let size: bytesize::ByteSize = text
            .parse()
            .map_err(|_| format!("`{text}` is not a size; write one such as 64KiB or 1MiB"))?;
        Ok(Self(size.as_u64()))
    }
}

impl Serialize for ByteSize {
    fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        ser.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ByteSize {
    fn deserialize<D: Deserializer<'de>>(de: D) -> Result<Self, D::Error> {
        String::deserialize(de)?.parse().map_err(de::Error::custom)
    }
}

/// `serde_with` adapter that reads and writes a [`Duration`] as `250ms` or `1m 30s`.
#[derive(Debug)]
pub struct DurationText;

impl SerializeAs<Duration> for DurationText {
    fn serialize_as<S: Serializer>(source: &Duration, ser: S) -> Result<S::Ok, S::Error> {
        ser.collect_str(&humantime::format_duration(*source))
    }
}

impl<'de> DeserializeAs<'de, Duration> for DurationText {
    fn deserialize_as<D: Deserializer<'de>>(de: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(de)?;
        humantime::parse_duration(&text).map_err(|_| {
            de::Error::custom(format!(
                "`{text}` is not a duration; write one such as 250ms or 5s"
            ))
        })
    }
}
