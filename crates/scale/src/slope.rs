//! A slope: one quantity measured against one size, with its fit and its value at the target.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One measurement: several runs at one size with one seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The seed of the load.
    pub seed: u64,
    /// The least of the runs.
    pub min: f64,
    /// Their median, which is what is fitted.
    pub median: f64,
    /// How many runs.
    pub runs: usize,
}

/// The form of a fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Model {
    /// `intercept`.
    Constant,
    /// `intercept + slope * size`.
    Linear,
    /// `intercept + slope * log2(size)`.
    Logarithmic,
    /// `intercept * size ^ slope`.
    Power,
}

/// A fit to the medians, by least squares of the relative error.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Its form.
    pub model: Model,
    /// The first coefficient.
    pub intercept: f64,
    /// The second one; 0 for a constant.
    pub slope: f64,
    /// The root of the mean squared relative error over the points.
    pub relative_error: f64,
}

/// A quantity against a size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// What it is, as `part.quantity.size`, such as `policy.arrival_ns.tenants`.
    pub id: String,
    /// What is measured, in words.
    pub quantity: String,
    /// Its unit.
    pub unit: String,
    /// The size that varies, in words.
    pub against: String,
    /// What is held fixed, by name.
    pub fixed: BTreeMap<String, f64>,
    /// The measurements.
    pub points: Vec<Point>,
    /// The fit.
    pub fit: Fit,
    /// The size at the target.
    pub target_size: f64,
    /// The fit's value there, or the measured one where the target itself was measured.
    pub at_target: f64,
    /// The error of that value, as a part of it: between seeds where it was measured, of the fit otherwise.
    pub at_target_error: f64,
    /// Whether the target itself was measured.
    pub measured_at_target: bool,
}

/// All slopes of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The machine: processor, cores, memory, kernel.
    pub machine: BTreeMap<String, String>,
    /// The commit that was measured.
    pub commit: String,
    /// The command.
    pub command: String,
    /// The slopes, by id.
    pub slopes: Vec<Slope>,
}
