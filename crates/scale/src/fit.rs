//! Fits a quantity as a function of a size (constant, linear, logarithmic or power) by least squares of the
//! relative error.
//!
//! The fit minimizes the relative error because sizes span decades: with absolute errors, the largest size
//! alone would determine the fit. A more complex model replaces a simpler one only if its error is at most
//! [`GAIN`] times as large.

use crate::slope::{Fit, Model, Point, Slope};

/// A more complex model replaces a simpler one only if its error is at most this fraction of the simpler
/// one's.
pub const GAIN: f64 = 0.75;

/// Relative error at or below which a model is accepted and no more complex model is tried.
pub const GOOD_ENOUGH: f64 = 0.02;

/// Lower bound for the divisor of a relative error, as a fraction of the largest value, so that the error of
/// a value of 0 is finite.
const MIN_SCALE: f64 = 1e-3;

/// Number of steps in the search for the exponent of a power.
const POWER_STEPS: usize = 80;

/// Half width of the range searched for the exponent, around the exponent of the line fitted to the
/// logarithms.
const POWER_SPAN: f64 = 0.5;

/// Significant digits of every reported number: enough for any use, and few enough that a number survives a
/// round trip through JSON unchanged.
const DIGITS: usize = 6;

/// All models, the simplest first.
const MODELS: [Model; 4] = [Model::Constant, Model::Linear, Model::Logarithmic, Model::Power];

/// One value to be fitted, with the divisor of its relative error.
struct Sample {
    size: f64,
    value: f64,
    scale: f64,
}

/// Returns the medians of `points` as samples.
fn samples(points: &[Point]) -> Vec<Sample> {
    let largest = points.iter().map(|point| point.median.abs()).fold(0.0, f64::max);
    let min_scale = (largest * MIN_SCALE).max(f64::MIN_POSITIVE);
    let sample = |point: &Point| Sample {
        size: point.size,
        value: point.median,
        scale: point.median.abs().max(min_scale),
    };
    points.iter().map(sample).collect()
}

impl Fit {
    /// Returns the value of the fit at a size.
    pub fn at(&self, size: f64) -> f64 {
        match self.model {
            Model::Constant => self.intercept,
            Model::Linear => self.intercept + self.slope * size,
            Model::Logarithmic => self.intercept + self.slope * size.log2(),
            Model::Power => self.intercept * size.powf(self.slope),
        }
    }

    /// Returns the best fit of one model to the medians of `points`, or `None` if they do not determine it.
    pub fn of_model(model: Model, points: &[Point]) -> Option<Fit> {
        let samples = samples(points);
        let (intercept, slope) = match model {
            Model::Constant => (scaled_mean(&samples, |_| 1.0)?, 0.0),
            Model::Linear => line(&samples, |size| size)?,
            Model::Logarithmic => line(&samples, f64::log2)?,
            Model::Power => power(&samples)?,
        };
        let fit = Fit { model, intercept: rounded(intercept), slope: rounded(slope), relative_error: 0.0 };
        let relative_error = rounded(error(&samples, |size| fit.at(size)));
        let fit = Fit { relative_error, ..fit };
        [intercept, slope, relative_error].iter().all(|number| number.is_finite()).then_some(fit)
    }

    /// Returns the best fit of all models: the simplest one unless a more complex one is better by [`GAIN`].
    /// A model that is negative at the target size is excluded unless some measured value is negative.
    pub fn best(points: &[Point], target_size: f64) -> Fit {
        let zero = Fit { model: Model::Constant, intercept: 0.0, slope: 0.0, relative_error: 0.0 };
        let may_be_negative = points.iter().any(|point| point.median < 0.0);
        let is_candidate = |fit: &Fit| may_be_negative || fit.at(target_size) >= 0.0;
        let mut fits = MODELS.iter().filter_map(|model| Fit::of_model(*model, points)).filter(is_candidate);
        let Some(mut best) = fits.next() else { return zero };
        for fit in fits {
            if best.relative_error <= GOOD_ENOUGH {
                break;
            }
            if fit.relative_error <= best.relative_error * GAIN {
                best = fit;
            }
        }
        best
    }
}

/// Returns the factor of `shape` that minimizes the squared relative error.
fn scaled_mean(samples: &[Sample], shape: impl Fn(f64) -> f64) -> Option<f64> {
    let (mut numerator, mut denominator) = (0.0, 0.0);
    for sample in samples {
        let scaled = shape(sample.size) / sample.scale;
        numerator += scaled * sample.value / sample.scale;
        denominator += scaled * scaled;
    }
    (denominator > 0.0).then(|| numerator / denominator)
}

/// Returns the intercept and slope of the line over `shape(size)` that minimizes the squared relative error.
fn line(samples: &[Sample], shape: impl Fn(f64) -> f64) -> Option<(f64, f64)> {
    let (mut weights, mut sum_x, mut sum_y) = (0.0, 0.0, 0.0);
    for sample in samples {
        let weight = 1.0 / (sample.scale * sample.scale);
        weights += weight;
        sum_x += weight * shape(sample.size);
        sum_y += weight * sample.value;
    }
    let (mean_x, mean_y) = (sum_x / weights, sum_y / weights);
    let (mut sum_xx, mut sum_xy) = (0.0, 0.0);
    for sample in samples {
        let weight = 1.0 / (sample.scale * sample.scale);
        let distance = shape(sample.size) - mean_x;
        sum_xx += weight * distance * distance;
        sum_xy += weight * distance * (sample.value - mean_y);
    }
    let slope = sum_xy / sum_xx;
    (sum_xx > 0.0).then_some((mean_y - slope * mean_x, slope))
}

/// Returns the factor and exponent of the power of the size that minimizes the squared relative error.
fn power(samples: &[Sample]) -> Option<(f64, f64)> {
    if samples.iter().any(|sample| sample.value <= 0.0 || sample.size <= 0.0) {
        return None;
    }
    let logarithms: Vec<Sample> = samples
        .iter()
        .map(|sample| Sample { size: sample.size.ln(), value: sample.value.ln(), scale: 1.0 })
        .collect();
    let (_, start) = line(&logarithms, |size| size)?;
    let factor = |exponent: f64| scaled_mean(samples, |size| size.powf(exponent));
    let cost = |exponent: f64| {
        factor(exponent).map_or(f64::INFINITY, |factor| error(samples, |size| factor * size.powf(exponent)))
    };
    let exponent = argmin(start - POWER_SPAN, start + POWER_SPAN, cost);
    Some((factor(exponent)?, exponent))
}

/// Returns the argument that minimizes `cost` between `low` and `high`, by ternary search.
fn argmin(mut low: f64, mut high: f64, cost: impl Fn(f64) -> f64) -> f64 {
    for _ in 0..POWER_STEPS {
        let third = (high - low) / 3.0;
        if cost(low + third) <= cost(high - third) {
            high -= third;
        } else {
            low += third;
        }
    }
    (low + high) / 2.0
}

/// Returns the root mean square of the relative errors.
fn error(samples: &[Sample], value: impl Fn(f64) -> f64) -> f64 {
    let square = |sample: &Sample| ((value(sample.size) - sample.value) / sample.scale).powi(2);
    (samples.iter().map(square).sum::<f64>() / samples.len().max(1) as f64).sqrt()
}

/// Description of a measured quantity: every part of a [`Slope`] that is not computed from its points.
#[derive(Clone, Debug)]
pub struct Quantity {
    /// Id of the slope, as `part.quantity.size`.
    pub id: &'static str,
    /// Description of the measured quantity.
    pub quantity: &'static str,
    /// Unit of the quantity.
    pub unit: &'static str,
    /// Description of the size that varies.
    pub against: &'static str,
    /// Parameters that are held constant, by name.
    pub fixed: &'static [(&'static str, f64)],
    /// Size in the target fleet.
    pub target_size: f64,
}

impl Quantity {
    /// Returns the slope through `points`: its fit, and its value at the target size with the error. If the
    /// target size was measured with one seed only, the error is the relative distance between that
    /// measurement and the fit of the other sizes.
    pub fn slope(&self, points: Vec<Point>) -> Slope {
        let fit = Fit::best(&points, self.target_size);
        let (at_target_points, other_points): (Vec<&Point>, Vec<&Point>) =
            points.iter().partition(|point| point.size == self.target_size);
        let target_medians: Vec<f64> = at_target_points.iter().map(|point| point.median).collect();
        let measured_at_target = !target_medians.is_empty();
        let (at_target, at_target_error) = match target_medians[..] {
            [] => {
                let error = fit.relative_error.max(seed_spread(&fit, &points, self.target_size));
                (fit.at(self.target_size), error)
            }
            [one] if one != 0.0 && !other_points.is_empty() => {
                let other_points: Vec<Point> = other_points.into_iter().cloned().collect();
                let fitted = Fit::best(&other_points, self.target_size).at(self.target_size);
                (one, (fitted - one).abs() / one.abs())
            }
            _ => (median(&target_medians), spread(&target_medians)),
        };
        Slope {
            id: self.id.to_owned(),
            quantity: self.quantity.to_owned(),
            unit: self.unit.to_owned(),
            against: self.against.to_owned(),
            fixed: self.fixed.iter().map(|(name, value)| ((*name).to_owned(), *value)).collect(),
            points,
            fit,
            target_size: self.target_size,
            at_target: rounded(at_target),
            at_target_error: rounded(at_target_error),
            measured_at_target,
        }
    }
}

impl Point {
    /// Summarizes several runs at one size as a point.
    pub fn of(size: f64, seed: u64, runs: &[f64]) -> Point {
        let min = runs.iter().copied().fold(f64::INFINITY, f64::min);
        Point {
            size,
            seed,
            min: if runs.is_empty() { 0.0 } else { rounded(min) },
            median: rounded(median(runs)),
            runs: runs.len(),
        }
    }
}

/// Returns a number rounded to [`DIGITS`] significant digits.
fn rounded(number: f64) -> f64 {
    format!("{number:.*e}", DIGITS - 1).parse().unwrap_or(number)
}

/// Returns the median: the mean of the middle two values if their number is even, 0 if there are none.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let middle = sorted.len() / 2;
    match sorted.len() {
        0 => 0.0,
        length if length % 2 == 1 => sorted[middle],
        _ => (sorted[middle - 1] + sorted[middle]) / 2.0,
    }
}

/// Returns half the range of `values` divided by their median.
pub fn spread(values: &[f64]) -> f64 {
    let low = values.iter().copied().fold(f64::INFINITY, f64::min);
    let high = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let middle = median(values).abs();
    if middle > 0.0 { (high - low) / 2.0 / middle } else { 0.0 }
}

/// Returns the spread, at a size, of the fits of the same model to the points of each seed alone.
fn seed_spread(fit: &Fit, points: &[Point], size: f64) -> f64 {
    let mut seeds: Vec<u64> = points.iter().map(|point| point.seed).collect();
    seeds.sort_unstable();
    seeds.dedup();
    let fit_of_seed = |seed: &u64| {
        let seed_points: Vec<Point> = points.iter().filter(|point| point.seed == *seed).cloned().collect();
        Fit::of_model(fit.model, &seed_points).map(|fit| fit.at(size))
    };
    spread(&seeds.iter().filter_map(fit_of_seed).collect::<Vec<f64>>())
}
