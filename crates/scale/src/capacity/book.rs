//! The measurements that the capacity page is computed from: slopes by id, and propagation runs.

use super::estimate::{Basis, Estimate};
use crate::slope::{Report, Slope};
use anyhow::{Context, Result};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

/// All measurements that the page is computed from.
#[derive(Clone, Debug)]
pub struct Book {
    report: Report,
    slopes: BTreeMap<String, Slope>,
    propagation: Vec<BTreeMap<String, serde_json::Value>>,
}

/// Content of `propagation.json`: the stored runs of the command `propagation`.
#[derive(Deserialize)]
struct PropagationRuns {
    runs: Vec<BTreeMap<String, serde_json::Value>>,
}

impl Book {
    /// Reads `slopes.json` and `propagation.json` from a folder.
    ///
    /// # Errors
    /// Returns an error that names the file if one of them is missing or cannot be parsed.
    pub fn read(folder: &Path) -> Result<Book> {
        let report: Report = read_json(&folder.join("slopes.json"))?;
        let runs: PropagationRuns = read_json(&folder.join("propagation.json"))?;
        Ok(Book::new(report, runs.runs))
    }

    /// Creates a book from a report and the printed fields of propagation runs.
    pub fn new(report: Report, propagation: Vec<BTreeMap<String, serde_json::Value>>) -> Book {
        let slopes = report.slopes.iter().map(|slope| (slope.id.clone(), slope.clone())).collect();
        Book { report, slopes, propagation }
    }

    /// Returns the report of the slopes, which states where and how they were measured.
    pub fn report(&self) -> &Report {
        &self.report
    }

    /// Returns all slopes, sorted by id.
    pub fn slopes(&self) -> impl Iterator<Item = &Slope> {
        self.slopes.values()
    }

    /// Returns the stored runs of the command `propagation`.
    pub fn propagation(&self) -> &[BTreeMap<String, serde_json::Value>] {
        &self.propagation
    }

    /// Returns the value of a slope at its target size.
    ///
    /// # Errors
    /// Returns an error if there is no slope with this id.
    pub fn at_target(&self, id: &str) -> Result<Estimate> {
        let slope = self.slope(id)?;
        let basis = if slope.measured_at_target { Basis::Measured } else { Basis::Extrapolated };
        Ok(self.estimate(slope, slope.at_target, slope.at_target_error, basis))
    }

    /// Returns the value of a slope's fit at a size.
    ///
    /// # Errors
    /// Returns an error if there is no slope with this id.
    pub fn at(&self, id: &str, size: f64) -> Result<Estimate> {
        let slope = self.slope(id)?;
        let largest = slope.points.iter().map(|point| point.size).fold(0.0, f64::max);
        let basis = if size <= largest { Basis::Measured } else { Basis::Extrapolated };
        Ok(self.estimate(slope, slope.fit.at(size), slope.fit.relative_error, basis))
    }

    /// Returns the largest value of a field over the propagation runs, with the relative range of the runs as
    /// its error.
    ///
    /// # Errors
    /// Returns an error if no run has the field as a number.
    pub fn propagated(&self, field: &str) -> Result<Estimate> {
        let number =
            |run: &BTreeMap<String, serde_json::Value>| run.get(field).and_then(serde_json::Value::as_f64);
        let values: Vec<f64> = self.propagation.iter().filter_map(number).collect();
        let max = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        anyhow::ensure!(max.is_finite(), "propagation.json: no run has a number in the field `{field}`");
        let min = values.iter().copied().fold(f64::INFINITY, f64::min);
        let spread = if max == 0.0 { 0.0 } else { (max - min) / max };
        let mut estimate = Estimate { relative_error: spread, ..Estimate::exact(max) };
        estimate.slopes.insert(format!("propagation.{field}"));
        Ok(estimate)
    }

    fn slope(&self, id: &str) -> Result<&Slope> {
        self.slopes.get(id).with_context(|| format!("slopes.json: no slope `{id}`"))
    }

    fn estimate(&self, slope: &Slope, value: f64, relative_error: f64, basis: Basis) -> Estimate {
        let mut estimate = Estimate { value, relative_error, basis, ..Estimate::exact(value) };
        estimate.slopes.insert(slope.id.clone());
        estimate
    }
}

fn read_json<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T> {
    let text = std::fs::read(path).with_context(|| format!("read {}", path.display()))?;
    serde_json::from_slice(&text).with_context(|| format!("{}: cannot be parsed", path.display()))
}
