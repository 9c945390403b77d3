//! A slope: one quantity measured as a function of one size, with its fit and its value at the target size.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One measurement: several runs at one size with one seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Size at which the runs were made.
    pub size: f64,
    /// Seed of the load.
    pub seed: u64,
    /// Smallest value of the runs.
    pub min: f64,
    /// Median of the runs, the value that is fitted.
    pub median: f64,
    /// Number of runs.
    pub runs: usize,
}

/// Function fitted to the measurements.
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

/// A fit to the medians of the points by least squares of the relative error.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// The fitted function.
    pub model: Model,
    /// First coefficient of the model.
    pub intercept: f64,
    /// Second coefficient of the model; 0 for a constant.
    pub slope: f64,
    /// Root mean square of the relative errors over the points.
    pub relative_error: f64,
}

/// A quantity measured as a function of a size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Id of the slope, as `part.quantity.size`, such as `policy.arrival_ns.tenants`.
    pub id: String,
    /// Description of the measured quantity.
    pub quantity: String,
    /// Unit of the quantity.
    pub unit: String,
    /// Description of the size that varies.
    pub against: String,
    /// Parameters that are held constant, by name.
    pub fixed: BTreeMap<String, f64>,
    /// Measured points.
    pub points: Vec<Point>,
    /// Fit to the points.
    pub fit: Fit,
    /// Size in the target fleet.
    pub target_size: f64,
    /// Value at the target size: the measured one if the target size was measured, otherwise the value of the
    /// fit.
    pub at_target: f64,
    /// Relative error of `at_target`: the spread between seeds if the target size was measured with several
    /// seeds, the distance from the fit of the other sizes if it was measured with one, and otherwise the
    /// error of the fit.
    pub at_target_error: f64,
    /// Whether the target size itself was measured.
    pub measured_at_target: bool,
}

/// All slopes of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Properties of the machine: processor, cores, memory, kernel and load.
    pub machine: BTreeMap<String, String>,
    /// Commit that was measured.
    pub commit: String,
    /// Command line that produced the report.
    pub command: String,
    /// Slopes, sorted by id.
    pub slopes: Vec<Slope>,
}
