//! A line of the capacity page: one figure of one role, its formula, its limit and the verdict that follows.

use super::estimate::{Estimate, Verdict};

/// When a figure holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// On an ordinary day at the peak.
    Steady,
    /// While configuration changes come at the burst's rate.
    ChangeBurst,
    /// While a rack's servers are lost at once.
    RackLost,
    /// While a zone's servers start at once with nothing.
    ZoneCold,
    /// While all callers reconnect.
    CallersReconnect,
    /// While regions can't reach each other, and when they can again.
    RegionsApart,
}

impl When {
    /// How the page says it.
    pub fn words(self) -> &'static str {
        match self {
            When::Steady => "steady",
            When::ChangeBurst => "burst of changes",
            When::RackLost => "rack lost",
            When::ZoneCold => "zone of 444 cold",
            When::CallersReconnect => "all callers reconnect",
            When::RegionsApart => "regions apart",
        }
    }
}

/// The unit of a figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Bytes.
    Bytes,
    /// Bytes a second.
    BytesPerSecond,
    /// A part of one core.
    CoreShare,
    /// Milliseconds.
    Milliseconds,
    /// Seconds.
    Seconds,
    /// Events a second.
    PerSecond,
    /// A count.
    Count,
}

impl Unit {
    /// The figure as text, with three digits that mean something.
    pub fn text(self, value: f64) -> String {
        match self {
            Unit::Bytes => scaled(value, "B"),
            Unit::BytesPerSecond => scaled(value, "B/s"),
            Unit::CoreShare => format!("{}% of a core", digits(value * 100.0)),
            Unit::Milliseconds => format!("{} ms", digits(value)),
            Unit::Seconds => format!("{} s", digits(value)),
            Unit::PerSecond => format!("{}/s", digits(value)),
            Unit::Count => digits(value),
        }
    }
}

fn scaled(value: f64, unit: &str) -> String {
    let steps = [(1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "k")];
    let step = steps.iter().find(|(size, _)| value.abs() >= *size);
    step.map_or_else(
        || format!("{} {unit}", digits(value)),
        |(size, prefix)| format!("{} {prefix}{unit}", digits(value / size)),
    )
}

fn digits(value: f64) -> String {
    let magnitude = value.abs();
    let decimals = if value == 0.0 || magnitude >= 100.0 {
        0
    } else if magnitude >= 10.0 {
        1
    } else if magnitude >= 1.0 {
        2
    } else {
        (1 - magnitude.log10().floor() as i32).clamp(2, 6) as usize
    };
    with_commas(&format!("{value:.decimals$}"))
}

fn with_commas(text: &str) -> String {
    let (whole, rest) = text.split_once('.').map_or((text, None), |(whole, rest)| (whole, Some(rest)));
    let mut grouped = String::new();
    for (at, digit) in whole.chars().enumerate() {
        if at > 0 && (whole.len() - at) % 3 == 0 && digit != '-' && !grouped.ends_with('-') {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    rest.map_or(grouped.clone(), |rest| format!("{grouped}.{rest}"))
}

/// One figure of one role.
#[derive(Clone, Debug)]
pub struct Row {
    /// What is counted.
    pub what: &'static str,
    /// When.
    pub when: When,
    /// The formula, in words and slope ids.
    pub formula: String,
    /// The figure.
    pub estimate: Estimate,
    /// Its unit.
    pub unit: Unit,
    /// What it must not pass.
    pub limit: Option<f64>,
    /// The mechanism that carries it.
    pub mechanism: &'static str,
    /// Whether that mechanism exists.
    pub built: bool,
}

impl Row {
    /// A figure with no limit, carried by a mechanism that exists.
    pub fn new(
        what: &'static str,
        when: When,
        unit: Unit,
        estimate: Estimate,
        formula: impl Into<String>,
    ) -> Row {
        Row { what, when, formula: formula.into(), estimate, unit, limit: None, mechanism: "", built: true }
    }

    /// What it must not pass.
    pub fn limit(mut self, limit: f64) -> Row {
        self.limit = Some(limit);
        self
    }

    /// The mechanism that carries it.
    pub fn carried_by(mut self, mechanism: &'static str) -> Row {
        self.mechanism = mechanism;
        self
    }

    /// The mechanism that would carry it does not exist yet.
    pub fn not_built(mut self) -> Row {
        self.built = false;
        self
    }

    /// The verdict that follows from the figures.
    pub fn verdict(&self) -> Verdict {
        Verdict::of(&self.estimate, self.limit, self.built)
    }
}

/// A role in the fleet.
#[derive(Clone, Debug)]
pub struct Role {
    /// Its id, under which the page has its table.
    pub id: &'static str,
    /// Its rows.
    pub rows: Vec<Row>,
}
