//! Figures with their error and sources, and the verdict of comparing a figure with its limit.

use std::collections::BTreeSet;

/// How the least reliable input of a figure was obtained, the most reliable first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Basis {
    /// The input was measured at the size in question, or is exact by definition.
    Measured,
    /// The input is a measured slope extrapolated beyond the largest measured size.
    Extrapolated,
    /// The input is assumed, not measured.
    Assumed,
}

impl Basis {
    /// Returns the word for this basis on the page.
    pub fn word(self) -> &'static str {
        match self {
            Basis::Measured => "measured",
            Basis::Extrapolated => "extrapolated",
            Basis::Assumed => "assumed",
        }
    }
}

/// A figure with its relative error and its sources.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// Value of the figure.
    pub value: f64,
    /// Error of the figure, as a fraction of its value.
    pub relative_error: f64,
    /// Basis of the least reliable input.
    pub basis: Basis,
    /// Ids of the slopes that the figure is computed from.
    pub slopes: BTreeSet<String>,
}

impl Estimate {
    /// Creates an exact figure, such as a target, a count or a setting.
    pub fn exact(value: f64) -> Estimate {
        Estimate { value, relative_error: 0.0, basis: Basis::Measured, slopes: BTreeSet::new() }
    }

    /// Creates a figure that is assumed rather than measured.
    pub fn assumed(value: f64) -> Estimate {
        Estimate { basis: Basis::Assumed, ..Estimate::exact(value) }
    }

    /// Returns the figure multiplied by an exact factor.
    pub fn times(mut self, factor: f64) -> Estimate {
        self.value *= factor;
        self
    }

    /// Returns the sum of two figures. Absolute errors add up, since they may have a common cause.
    pub fn plus(mut self, other: Estimate) -> Estimate {
        let error = self.value.abs() * self.relative_error + other.value.abs() * other.relative_error;
        self.value += other.value;
        self.relative_error = if self.value == 0.0 { 0.0 } else { error / self.value.abs() };
        self.basis = self.basis.max(other.basis);
        self.slopes.extend(other.slopes);
        self
    }

    /// Returns the product of two figures. Relative errors add up.
    pub fn by(mut self, other: Estimate) -> Estimate {
        self.value *= other.value;
        self.relative_error += other.relative_error;
        self.basis = self.basis.max(other.basis);
        self.slopes.extend(other.slopes);
        self
    }

    /// Returns the upper bound of the figure within its error.
    pub fn upper(&self) -> f64 {
        self.value * (1.0 + self.relative_error)
    }
}

/// Result of comparing a figure with its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The figure is within its limit, error included, and could grow by this factor.
    Fits(f64),
    /// The value is within the limit, but the upper bound of its error is not.
    WithinError,
    /// The value exceeds the limit and would have to shrink by this factor.
    DoesNotFit(f64),
    /// No implemented mechanism provides the figure yet; it states what would be needed.
    NotBuilt,
    /// The figure has no limit of its own.
    NoLimit,
}

impl Verdict {
    /// Returns the verdict for a figure, its limit and whether its mechanism is implemented.
    pub fn of(value: &Estimate, limit: Option<f64>, built: bool) -> Verdict {
        let Some(limit) = limit else {
            return if built { Verdict::NoLimit } else { Verdict::NotBuilt };
        };
        if value.value > limit {
            Verdict::DoesNotFit(value.value / limit)
        } else if !built {
            Verdict::NotBuilt
        } else if value.upper() > limit {
            Verdict::WithinError
        } else {
            Verdict::Fits(limit / value.upper())
        }
    }
}

impl std::fmt::Display for Verdict {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Verdict::Fits(factor) => write!(f, "fits, {} left", factor_text(*factor)),
            Verdict::WithinError => {
                f.write_str("fits only by its middle value: the error reaches past the limit")
            }
            Verdict::DoesNotFit(factor) => write!(f, "**does not fit**, {} missing", factor_text(*factor)),
            Verdict::NotBuilt => f.write_str("**not built**"),
            Verdict::NoLimit => f.write_str("no limit of its own"),
        }
    }
}

fn factor_text(factor: f64) -> String {
    if factor >= 10.0 { format!("x{factor:.0}") } else { format!("x{factor:.2}") }
}
