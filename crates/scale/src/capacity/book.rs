//! The measured slopes and propagation runs, by name.

use super::estimate::{Basis, Estimate};
use crate::slope::{Report, Slope};
use anyhow::{Context, Result};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;

/// Everything measured that the page rests on.
#[derive(Clone, Debug)]
pub struct Book {
    report: Report,
    slopes: BTreeMap<String, Slope>,
    propagation: Vec<BTreeMap<String, serde_json::Value>>,
}

/// The runs of `propagation` that are kept.
#[derive(Deserialize)]
struct PropagationRuns {
    runs: Vec<BTreeMap<String, serde_json::Value>>,
}

impl Book {
    /// Reads `slopes.json` and `propagation.json` of a folder.
    ///
    /// # Errors
    /// If a file is missing or not of its form; the error names it.
    pub fn read(folder: &Path) -> Result<Book> {
        let report: Report = read_json(&folder.join("slopes.json"))?;
        let runs: PropagationRuns = read_json(&folder.join("propagation.json"))?;
        Ok(Book::new(report, runs.runs))
    }

    /// A book of a report and of the printed fields of propagation runs.
    pub fn new(report: Report, propagation: Vec<BTreeMap<String, serde_json::Value>>) -> Book {
        let slopes = report.slopes.iter().map(|slope| (slope.id.clone(), slope.clone())).collect();
        Book { report, slopes, propagation }
    }

    /// Where and how the slopes were measured.
    pub fn report(&self) -> &Report {
        &self.report
    }

    /// All slopes, by id.
    pub fn slopes(&self) -> impl Iterator<Item = &Slope> {
        self.slopes.values()
    }

    /// The runs of `propagation`.
    pub fn propagation(&self) -> &[BTreeMap<String, serde_json::Value>] {
        &self.propagation
    }

    /// A slope's value at the target.
    ///
    /// # Errors
    /// If there is no such slope.
    pub fn at_target(&self, id: &str) -> Result<Estimate> {
        let slope = self.slope(id)?;
        let basis = if slope.measured_at_target { Basis::Measured } else { Basis::Extrapolated };
        Ok(self.estimate(slope, slope.at_target, slope.at_target_error, basis))
    }

    /// A slope's fit at another size.
    ///
    /// # Errors
    /// If there is no such slope.
    pub fn at(&self, id: &str, size: f64) -> Result<Estimate> {
        let slope = self.slope(id)?;
        let largest = slope.points.iter().map(|point| point.size).fold(0.0, f64::max);
        let basis = if size <= largest { Basis::Measured } else { Basis::Extrapolated };
        Ok(self.estimate(slope, slope.fit.at(size), slope.fit.relative_error, basis))
    }

    /// The largest value of a field over the propagation runs, with the spread between runs as its error.
    ///
    /// # Errors
    /// If no run has the field as a number.
    pub fn propagated(&self, field: &str) -> Result<Estimate> {
        let number =
            |run: &BTreeMap<String, serde_json::Value>| run.get(field).and_then(serde_json::Value::as_f64);
        let values: Vec<f64> = self.propagation.iter().filter_map(number).collect();
        let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        anyhow::ensure!(most.is_finite(), "propagation.json: no run has the field `{field}`");
        let least = values.iter().copied().fold(f64::INFINITY, f64::min);
        let spread = if most == 0.0 { 0.0 } else { (most - least) / most };
        let mut estimate = Estimate { relative_error: spread, ..Estimate::exact(most) };
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
    serde_json::from_slice(&text).with_context(|| format!("{}: not of the expected form", path.display()))
}
