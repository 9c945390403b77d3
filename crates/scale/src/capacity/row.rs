//! Rows of the capacity page: one figure of one role, with its formula, its limit and the resulting verdict.

use super::estimate::{Estimate, Verdict};

/// Condition under which a figure holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum When {
    /// Peak load of an ordinary day.
    Steady,
    /// Configuration changes arrive at the rate of a burst.
    ChangeBurst,
    /// All servers of a rack fail at once.
    RackLost,
    /// All servers of a zone start at once without stored state.
    ZoneCold,
    /// All callers reconnect.
    CallersReconnect,
    /// Regions cannot reach each other, or have just regained contact.
    RegionsApart,
}

impl When {
    /// Returns the text for this condition on the page.
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
    /// Bytes per second.
    BytesPerSecond,
    /// Share of one core.
    CoreShare,
    /// Milliseconds.
    Milliseconds,
    /// Seconds.
    Seconds,
    /// Events per second.
    PerSecond,
    /// A count.
    Count,
}

impl Unit {
    /// Formats a value with this unit and about three significant digits.
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
    for (index, digit) in whole.chars().enumerate() {
        if index > 0 && (whole.len() - index) % 3 == 0 && digit != '-' && !grouped.ends_with('-') {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    rest.map_or(grouped.clone(), |rest| format!("{grouped}.{rest}"))
}

/// One figure of one role.
#[derive(Clone, Debug)]
pub struct Row {
    /// Name of the measured figure.
    pub name: &'static str,
    /// Condition under which the figure holds.
    pub when: When,
    /// Formula of the figure, in words and slope ids.
    pub formula: String,
    /// The figure with its error and sources.
    pub estimate: Estimate,
    /// Unit of the figure.
    pub unit: Unit,
    /// Upper limit of the figure, if it has one.
    pub limit: Option<f64>,
    /// Mechanism that provides the figure.
    pub mechanism: &'static str,
    /// Whether the mechanism is implemented.
    pub built: bool,
}

impl Row {
    /// Creates a row with no limit and an implemented mechanism without a name.
    pub fn new(
        name: &'static str,
        when: When,
        unit: Unit,
        estimate: Estimate,
        formula: impl Into<String>,
    ) -> Row {
        Row { name, when, formula: formula.into(), estimate, unit, limit: None, mechanism: "", built: true }
    }

    /// Sets the upper limit of the figure.
    pub fn limit(mut self, limit: f64) -> Row {
        self.limit = Some(limit);
        self
    }

    /// Sets the mechanism that provides the figure.
    pub fn carried_by(mut self, mechanism: &'static str) -> Row {
        self.mechanism = mechanism;
        self
    }

    /// Marks the mechanism as not implemented yet.
    pub fn not_built(mut self) -> Row {
        self.built = false;
        self
    }

    /// Returns the verdict for the figure and its limit.
    pub fn verdict(&self) -> Verdict {
        Verdict::of(&self.estimate, self.limit, self.built)
    }
}

/// A role in the fleet with the rows of its table.
#[derive(Clone, Debug)]
pub struct Role {
    /// Id of the role, which names the markers of its table in the page.
    pub id: &'static str,
    /// Rows of the role's table.
    pub rows: Vec<Row>,
}
