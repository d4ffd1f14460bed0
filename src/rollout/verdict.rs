//! Whether the new version's responses are worse than the old one's at the same time.

use std::fmt;
use std::ops::{AddAssign, Sub};
use std::time::Duration;

use indexmap::IndexMap;

use crate::rollout::evidence::Tally;

/// What counts as a bad response in a comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A failed one.
    Failed,
    /// A slow one.
    Slow,
    /// Either.
    Any,
}

impl Fault {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Failed, Self::Slow, Self::Any];

    /// Number of bad responses in a tally.
    #[must_use]
    pub fn count(self, tally: Tally) -> u32 {
        match self {
            Self::Failed => tally.failed,
            Self::Slow => tally.slow,
            Self::Any => tally.failed.saturating_add(tally.slow),
        }
    }

    /// Whether slow responses are among the bad ones.
    #[must_use]
    pub fn is_slow(self) -> bool {
        self != Self::Failed
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failed => "failed",
            Self::Slow => "were slow",
            Self::Any => "failed or were slow",
        })
    }
}

/// Responses of the new version, and how the old one's would have been in its place.
///
/// The time is divided into slices. In each, the old version's share of bad responses
/// is weighted by the number of the new version's responses. A time at which all
/// targets are slow therefore counts for both alike, whatever their shares of the
/// requests were then.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Matched {
    new: Tally,
    /// Expected failed responses.
    failed: f64,
    /// Expected slow responses.
    slow: f64,
    /// Sum of the squared numbers of new responses over those of old ones.
    spread: f64,
    /// Length of the slices, in seconds.
    seconds: f64,
}

impl Matched {
    /// Adds a slice. One without responses of the old version can't be compared.
    pub fn add(&mut self, old: Tally, new: Tally, length: Duration) {
        if old.total() == 0 || new.total() == 0 {
            return;
        }
        let (of_old, of_new) = (f64::from(old.total()), f64::from(new.total()));
        self.new += new;
        self.failed += of_new * f64::from(old.failed) / of_old;
        self.slow += of_new * f64::from(old.slow) / of_old;
        self.spread += of_new * of_new / of_old;
        self.seconds += length.as_secs_f64();
    }

    fn expected(&self, fault: Fault) -> f64 {
        match fault {
            Fault::Failed => self.failed,
            Fault::Slow => self.slow,
            Fault::Any => self.failed + self.slow,
        }
    }

    /// Share of bad responses of the old version.
    fn old_share(&self, fault: Fault) -> f64 {
        self.expected(fault) / f64::from(self.new.total().max(1))
    }

    /// Number of responses of the old version in one slice that would be as certain.
    fn old_responses(&self) -> f64 {
        let new = f64::from(self.new.total());
        new * new / self.spread.max(f64::MIN_POSITIVE)
    }
}

impl AddAssign for Matched {
    fn add_assign(&mut self, other: Self) {
        self.new += other.new;
        self.failed += other.failed;
        self.slow += other.slow;
        self.spread += other.spread;
        self.seconds += other.seconds;
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Self) {
        self.good = self.good.saturating_add(other.good);
        self.slow = self.slow.saturating_add(other.slow);
        self.failed = self.failed.saturating_add(other.failed);
    }
}

impl Sub for Tally {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            good: self.good.saturating_sub(other.good),
            slow: self.slow.saturating_sub(other.slow),
            failed: self.failed.saturating_sub(other.failed),
        }
    }
}

/// When a difference between the versions counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rule {
    /// Maximum probability that two equal versions differ as much.
    pub chance: f64,
    /// The same without the new version's worst target, if it has several. `None` to
    /// let one bad target speak for its version.
    pub rest_chance: Option<f64>,
    /// Minimum difference of the shares of failed responses.
    pub difference: f64,
    /// Minimum difference where slow ones count too.
    pub slow_difference: f64,
    /// Minimum number of bad responses.
    pub bad: u32,
}

/// By how much the new version is worse than the old one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Difference {
    /// What is compared.
    pub fault: Fault,
    /// Bad responses of the new version.
    pub bad: u32,
    /// All its responses.
    pub total: u32,
    /// Share of bad responses of the old version.
    pub old_share: f64,
    /// Probability that two equal versions differ as much.
    pub chance: f64,
}

impl Difference {
    /// Share of bad responses of the new version.
    #[must_use]
    pub fn new_share(&self) -> f64 {
        f64::from(self.bad) / f64::from(self.total.max(1))
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {} responses {} ({:.1} %), of the old version {:.1} %; chance {:.0e}",
            self.bad,
            self.total,
            self.fault,
            self.new_share() * 100.0,
            self.old_share * 100.0,
            self.chance
        )
    }
}

/// Time for which a target may be several times slower, as the load that it shares
/// with others varies.
const SLOW_SPELL: Duration = Duration::from_millis(500);

/// Factor on the chance without the worst target where slow responses count, which are
/// more frequent than failed ones.
const SLOW_REST: f64 = 0.1;

/// The difference by which the new version is worse, if the rule counts it.
///
/// `targets` gives the responses of each target of the new version in the same time,
/// and is called only if it matters.
pub fn find_difference(
    matched: Matched,
    rule: Rule,
    targets: impl FnOnce() -> IndexMap<u64, Tally>,
) -> Option<Difference> {
    let differs = |fault: &Fault| compare(matched, matched.new, *fault, 1.0, rule).is_some();
    let faults: Vec<Fault> = Fault::ALL.into_iter().filter(differs).collect();
    if faults.is_empty() {
        return None;
    }
    let targets = targets();
    faults.into_iter().find_map(|fault| {
        let group = group_size(matched, &targets, fault);
        let difference = compare(matched, matched.new, fault, group, rule)?;
        // A target that crashed or is cut off says nothing of its version; another
        // one's responses must show it too, however few they are.
        if let Some(chance) = rule.rest_chance {
            let worst = targets.values().copied();
            let worst = worst.max_by_key(|tally| fault.count(*tally));
            let rest = matched.new - worst.unwrap_or_default();
            let certainty = if fault.is_slow() { SLOW_REST } else { 1.0 };
            let rule = Rule {
                chance: chance * certainty,
                bad: 2,
                ..rule
            };
            compare(matched, rest, fault, group, rule)?;
        }
        Some(difference)
    })
}

/// Number of responses that tell as much as one independent response. Slow ones come
/// in groups: those of one target during one spell.
fn group_size(matched: Matched, targets: &IndexMap<u64, Tally>, fault: Fault) -> f64 {
    if !fault.is_slow() {
        return 1.0;
    }
    let counts = targets.values().map(|tally| f64::from(tally.total()));
    let (sum, squares) = counts.fold((0.0, 0.0), |(sum, squares), count| {
        (sum + count, squares + count * count)
    });
    let spells = (matched.seconds / SLOW_SPELL.as_secs_f64()).max(1.0);
    (squares / f64::max(sum, 1.0) / spells).max(1.0)
}

/// Compares responses of the new version with those of the old one in `matched`.
fn compare(
    matched: Matched,
    new: Tally,
    fault: Fault,
    group: f64,
    rule: Rule,
) -> Option<Difference> {
    let (bad, total) = (fault.count(new), new.total());
    let old_share = matched.old_share(fault);
    let difference = f64::from(bad) / f64::from(total.max(1)) - old_share;
    let min_difference = if fault.is_slow() {
        rule.slow_difference
    } else {
        rule.difference
    };
    if bad < rule.bad || difference < min_difference {
        return None;
    }
    let old = matched.old_responses();
    let chance = exact_test(
        whole(f64::from(bad) / group),
        whole((f64::from(total) / group).ceil()),
        whole((old_share * old).ceil()),
        whole(old),
    );
    (chance <= rule.chance).then_some(Difference {
        fault,
        bad,
        total,
        old_share,
        chance,
    })
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts, none negative or beyond 2^53"
)]
fn whole(count: f64) -> u64 {
    count as u64
}

/// Terms of the test below this part of its sum are left out.
const NEGLIGIBLE: f64 = 1e-9;

/// Fisher's exact test, one-sided: the probability that at least `new_bad` of the
/// `new` responses are bad if all bad ones are distributed over both versions by
/// chance. It is 1 if the new version isn't worse.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "counts of responses")]
pub fn exact_test(new_bad: u64, new: u64, old_bad: u64, old: u64) -> f64 {
    let old_bad = old_bad.min(old);
    if new_bad * old <= old_bad * new {
        return 1.0;
    }
    let (bad, all) = (new_bad + old_bad, new + old);
    let mut term =
        (ln_choose(bad, new_bad) + ln_choose(all - bad, new - new_bad) - ln_choose(all, new)).exp();
    let mut sum = term;
    for count in new_bad..new.min(bad) {
        let good_old = (old - (bad - count)) as f64;
        term *= ((bad - count) * (new - count)) as f64 / ((count + 1) as f64 * (good_old + 1.0));
        sum += term;
        if term < sum * NEGLIGIBLE {
            break;
        }
    }
    sum.min(1.0)
}

fn ln_choose(of: u64, chosen: u64) -> f64 {
    ln_factorial(of) - ln_factorial(chosen) - ln_factorial(of - chosen)
}

/// Logarithm of a factorial, by Stirling's series where that is exact to nine digits.
#[expect(clippy::cast_precision_loss, reason = "counts of responses")]
fn ln_factorial(number: u64) -> f64 {
    const SERIES_FROM: u64 = 16;
    if number < SERIES_FROM {
        return (2..=number).map(|factor| (factor as f64).ln()).sum();
    }
    let n = number as f64;
    n * n.ln() - n + (std::f64::consts::TAU * n).ln() / 2.0 + 1.0 / (12.0 * n)
        - 1.0 / (360.0 * n.powi(3))
}

#[cfg(test)]
mod tests;
