//! Counts that decay with time, one for each member of a large set, and their sum. Adding an arrival and
//! decaying all counts take constant time, whatever the number of members.
//!
//! This is forward decay (Cormode, Shkapenyuk, Srivastava and Xu, 2009): instead of shrinking all counts at
//! every step, the weight of a new arrival grows, and counts are read relative to the current weight.
//!
//! A caller may divide by the counts of all other members, which can be very small. This difference between
//! the sum and one count must therefore not consist of rounding errors, even if one member accounts for
//! nearly the whole sum. The sum uses compensated summation (Neumaier, 1974): it equals the sum of the stored
//! counts to about twice the precision of each.

/// Weight at which all counts are scaled down: a power of two, so that dividing a floating-point number by it
/// is exact.
const WEIGHT_MAX: f64 = 18_446_744_073_709_551_616.0; // 2^64
/// Number of scalings after which every count is zero: 2^-2048 is below the smallest floating-point number.
const SCALINGS_MAX: u64 = 32;

/// A compensated sum: `low` accumulates the rounding errors of `high`.
#[derive(Clone, Copy, Debug, Default)]
struct CompensatedSum {
    high: f64,
    low: f64,
}

/// Returns the rounded sum of two numbers and its rounding error (Knuth's two-sum).
fn two_sum(left: f64, right: f64) -> (f64, f64) {
    let sum = left + right;
    let right_rounded = sum - left;
    let left_rounded = sum - right_rounded;
    (sum, (left - left_rounded) + (right - right_rounded))
}

impl CompensatedSum {
    fn add(&mut self, value: f64) {
        let (sum, error) = two_sum(self.high, value);
        self.high = sum;
        self.low += error;
    }

    fn minus(self, value: f64) -> f64 {
        (self.high - value) + self.low
    }
}

/// One member's count, at the scale in effect when it was last changed.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    value: f64,
    scalings: u64,
}

impl Count {
    /// Returns the value at the scale that applies after `scalings` scalings.
    fn rescaled(self, scalings: u64) -> f64 {
        let missed_scalings = (scalings - self.scalings).min(SCALINGS_MAX);
        (0..missed_scalings).fold(self.value, |value, _| value / WEIGHT_MAX)
    }
}

/// The decayed counts at the time of an arrival, as [`DecayingCounts::add`] returns them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberCounts {
    /// The member's decayed count, including the arrival just added.
    pub own: f64,
    /// The sum of the decayed counts of all other members.
    pub others: f64,
}

/// Decaying counts of the members `0..n`.
#[derive(Clone, Debug)]
pub struct DecayingCounts {
    /// Current weight of an arrival.
    weight: f64,
    /// Number of times that all counts have been scaled down.
    scalings: u64,
    counts: Vec<Count>,
    total: CompensatedSum,
}

impl Default for DecayingCounts {
    fn default() -> Self {
        DecayingCounts::new(0)
    }
}

impl DecayingCounts {
    /// Returns counts for `members` members, all zero.
    pub fn new(members: usize) -> DecayingCounts {
        DecayingCounts {
            weight: 1.0,
            scalings: 0,
            counts: vec![Count::default(); members],
            total: CompensatedSum::default(),
        }
    }

    /// Multiplies all counts by `factor`, which is clamped to the range from 2^-64 to 1.
    pub fn decay(&mut self, factor: f64) {
        self.weight /= factor.clamp(1.0 / WEIGHT_MAX, 1.0);
        if self.weight >= WEIGHT_MAX {
            self.weight /= WEIGHT_MAX;
            self.total.high /= WEIGHT_MAX;
            self.total.low /= WEIGHT_MAX;
            self.scalings += 1;
        }
    }

    /// Adds members with a count of zero until there are at least `members`.
    pub fn grow(&mut self, members: usize) {
        self.counts.resize(members.max(self.counts.len()), Count::default());
    }

    /// Sets a member's count to zero.
    pub fn reset(&mut self, member: usize) {
        let Some(count) = self.counts.get_mut(member) else { return };
        let before = count.rescaled(self.scalings);
        *count = Count::default();
        self.total.add(-before);
    }

    /// Counts one arrival of a member and returns the resulting counts; `None` if there is no such member.
    pub fn add(&mut self, member: usize) -> Option<MemberCounts> {
        let count = self.counts.get_mut(member)?;
        let before = count.rescaled(self.scalings);
        let (value, error) = two_sum(before, self.weight);
        *count = Count { value, scalings: self.scalings };
        // The rounding error of the member's count is subtracted, because the sum is that of the stored
        // counts.
        self.total.add(self.weight);
        self.total.add(-error);
        let others = self.total.minus(value).max(0.0);
        Some(MemberCounts { own: value / self.weight, others: others / self.weight })
    }
}
