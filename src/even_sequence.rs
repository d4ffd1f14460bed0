//! A sequence of points that are spread evenly over the unit interval.

/// Fractional part of the golden ratio. Its multiples are spread evenly over the unit
/// interval, so that shares also hold over short sequences.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_8;

/// Points in `0.0..1.0`. Any interval gets its share of them, also of a few.
///
/// A few hundred requests a second are spread over many instances, and each instance
/// must keep to the shares on its own.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct EvenSequence {
    last: f64,
}

impl EvenSequence {
    /// Starts at a point in `0.0..1.0`, drawn at random so that instances differ.
    pub(crate) fn new(start: f64) -> Self {
        Self { last: start }
    }

    /// The next point.
    pub(crate) fn next(&mut self) -> f64 {
        self.last = (self.last + GOLDEN_RATIO_FRACTION).fract();
        self.last
    }
}
