//! Counts that decay with time, one for each member of a large set, and their sum: an addition and a step of time cost
//! the same whatever the number of members.
//!
//! This is forward decay (Cormode, Shkapenyuk, Srivastava and Xu, 2009): in place of shrinking all counts with every
//! step, the weight of a new arrival grows, and counts are read relative to the present weight.
//!
//! A reader may divide the sum of the others by very little, so that this difference must not be made of rounding
//! errors, also where one member holds nearly all. The sum is therefore kept with a compensation (Neumaier, 1974): it
//! is that of the stored counts to about twice the precision of each.

/// The weight from which all is scaled down: a power of two, by which floating-point numbers are divided exactly.
const WEIGHT_MAX: f64 = 18_446_744_073_709_551_616.0; // 2^64
/// Scalings after which no count is above zero: 2^-2048 is below the smallest number.
const SCALINGS_MAX: u64 = 32;

/// A sum in two parts, the second of which holds what the first one's rounding left out.
#[derive(Clone, Copy, Debug, Default)]
struct CompensatedSum {
    high: f64,
    low: f64,
}

/// Returns the rounded sum of two numbers and what rounding left out (Knuth's two-sum).
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

/// One member's count, at the scale of the time when it was last added to.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    value: f64,
    scalings: u64,
}

impl Count {
    /// The value at the scale after so many scalings.
    fn at(self, scalings: u64) -> f64 {
        let behind = (scalings - self.scalings).min(SCALINGS_MAX);
        (0..behind).fold(self.value, |value, _| value / WEIGHT_MAX)
    }
}

/// The counts that an addition finds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberCounts {
    /// The member's decayed count, with the arrival just added.
    pub own: f64,
    /// The decayed counts of all other members together.
    pub others: f64,
}

/// Decaying counts of the members `0..n`.
#[derive(Clone, Debug)]
pub struct DecayingCounts {
    /// The weight of an arrival now.
    weight: f64,
    /// How often all was scaled down.
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
    /// Returns the counts of so many members, all zero.
    pub fn new(members: usize) -> DecayingCounts {
        DecayingCounts {
            weight: 1.0,
            scalings: 0,
            counts: vec![Count::default(); members],
            total: CompensatedSum::default(),
        }
    }

    /// Decays all counts to that part of themselves: at most 1, and at least 2^-64.
    pub fn decay(&mut self, part: f64) {
        self.weight /= part.clamp(1.0 / WEIGHT_MAX, 1.0);
        if self.weight >= WEIGHT_MAX {
            self.weight /= WEIGHT_MAX;
            self.total.high /= WEIGHT_MAX;
            self.total.low /= WEIGHT_MAX;
            self.scalings += 1;
        }
    }

    /// Adds members with a count of zero, up to so many in all.
    pub fn grow(&mut self, members: usize) {
        self.counts.resize(members.max(self.counts.len()), Count::default());
    }

    /// Sets a member's count to zero.
    pub fn reset(&mut self, member: usize) {
        let Some(count) = self.counts.get_mut(member) else { return };
        let before = count.at(self.scalings);
        *count = Count::default();
        self.total.add(-before);
    }

    /// Counts one arrival of a member; `None` if there is no such member.
    pub fn add(&mut self, member: usize) -> Option<MemberCounts> {
        let count = self.counts.get_mut(member)?;
        let before = count.at(self.scalings);
        let (value, error) = two_sum(before, self.weight);
        *count = Count { value, scalings: self.scalings };
        // What the member's own rounding left out is left out of the sum as well.
        self.total.add(self.weight);
        self.total.add(-error);
        let others = self.total.minus(value).max(0.0);
        Some(MemberCounts { own: value / self.weight, others: others / self.weight })
    }
}
