//! A figure with its error and where it comes from.

use std::collections::BTreeSet;

/// What the weakest input of a figure rests on, strongest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Basis {
    /// Measured at the size in question, or exact by definition.
    Measured,
    /// A measured slope, extended to a size past the largest one measured.
    Extrapolated,
    /// Assumed, not measured.
    Assumed,
}

impl Basis {
    /// How the page says it.
    pub fn word(self) -> &'static str {
        match self {
            Basis::Measured => "measured",
            Basis::Extrapolated => "extrapolated",
            Basis::Assumed => "assumed",
        }
    }
}

/// A figure, its error as a part of it, and its sources.
#[derive(Clone, Debug, PartialEq)]
pub struct Estimate {
    /// The figure.
    pub value: f64,
    /// Its error, as a part of it.
    pub relative_error: f64,
    /// The weakest basis of its inputs.
    pub basis: Basis,
    /// The slopes it rests on.
    pub slopes: BTreeSet<String>,
}

impl Estimate {
    /// A figure that is exact: a target, a count, a setting.
    pub fn exact(value: f64) -> Estimate {
        Estimate { value, relative_error: 0.0, basis: Basis::Measured, slopes: BTreeSet::new() }
    }

    /// A figure that nobody measured.
    pub fn assumed(value: f64) -> Estimate {
        Estimate { basis: Basis::Assumed, ..Estimate::exact(value) }
    }

    /// The figure times a factor known exactly.
    pub fn times(mut self, factor: f64) -> Estimate {
        self.value *= factor;
        self
    }

    /// The sum of two figures; absolute errors add, since they may share a cause.
    pub fn plus(mut self, other: Estimate) -> Estimate {
        let error = self.value.abs() * self.relative_error + other.value.abs() * other.relative_error;
        self.value += other.value;
        self.relative_error = if self.value == 0.0 { 0.0 } else { error / self.value.abs() };
        self.basis = self.basis.max(other.basis);
        self.slopes.extend(other.slopes);
        self
    }

    /// The product of two figures; relative errors add.
    pub fn by(mut self, other: Estimate) -> Estimate {
        self.value *= other.value;
        self.relative_error += other.relative_error;
        self.basis = self.basis.max(other.basis);
        self.slopes.extend(other.slopes);
        self
    }

    /// The most that the figure may be within its error.
    pub fn upper(&self) -> f64 {
        self.value * (1.0 + self.relative_error)
    }
}

/// Whether a figure keeps to its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It does, and could grow by this factor.
    Fits(f64),
    /// It does by its value and not by its error.
    WithinError,
    /// It does not: it would have to shrink by this factor.
    DoesNotFit(f64),
    /// Nothing carries it yet; the figure says what would be needed.
    NotBuilt,
    /// It has no limit of its own.
    NoLimit,
}

impl Verdict {
    /// The verdict that follows from a figure and its limit.
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
