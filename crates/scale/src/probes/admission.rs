//! Measures the admission controller: the time of an arrival, of the end of a run and of a timer, and its
//! memory, as a function of the number of tenants, classes, queued requests and running requests. Each state
//! is built in a separate process, so that the growth of the process's resident memory is the memory of the
//! controller.

use super::admission_load::{Costs, Length, Load, Shape};
use crate::child_process::{self, ReportingLoad};
use crate::fit::Quantity;
use crate::probes::{Probe, ProbeOptions};
use crate::resident_growth::Growth;
use crate::slope::{Point, Slope};
use anyhow::{Result, ensure};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Default state, in which one size varies.
const DEFAULT_SHAPE: Shape = Shape { tenants: 40, classes: 8, queued: 0, running: 8 };
/// Number of runs of the load at each size and seed.
const RUNS: usize = 5;
/// Length of a run.
const LENGTH: Length = Length { rounds: 400, time: Duration::from_millis(20) };

/// A dimension of the state that varies.
struct Axis {
    name: &'static str,
    words: &'static str,
    sizes: &'static [u64],
    target: f64,
    shape: fn(usize) -> Shape,
    fixed: &'static [(&'static str, f64)],
    ids: Ids,
}

/// Ids of the slopes of an axis.
struct Ids {
    arrival: &'static str,
    ending: &'static str,
    timer: &'static str,
    memory: &'static str,
}

const AXES: [Axis; 4] = [
    Axis {
        name: "policy.tenants",
        words: "tenants with an allowance",
        sizes: &[10, 40, 1_000, 10_000, 100_000, 390_000],
        target: 390_000.0,
        shape: |tenants| Shape { tenants, ..DEFAULT_SHAPE },
        fixed: &[("classes", 8.0), ("held", 0.0), ("running", 8.0)],
        ids: Ids {
            arrival: "policy.arrival_ns.tenants",
            ending: "policy.ending_ns.tenants",
            timer: "policy.timer_ns.tenants",
            memory: "policy.memory_bytes.tenants",
        },
    },
    Axis {
        name: "policy.classes",
        words: "classes of requests (routes)",
        sizes: &[10, 100, 1_000, 10_000, 64_000],
        target: 64_000.0,
        shape: |classes| Shape { classes, ..DEFAULT_SHAPE },
        fixed: &[("tenants", 40.0), ("held", 0.0), ("running", 8.0)],
        ids: Ids {
            arrival: "policy.arrival_ns.classes",
            ending: "policy.ending_ns.classes",
            timer: "policy.timer_ns.classes",
            memory: "policy.memory_bytes.classes",
        },
    },
    Axis {
        name: "policy.held",
        words: "held requests; an arrival adds one, an ending runs the best of them",
        sizes: &[10, 100, 1_000, 10_000],
        target: 10_000.0,
        shape: |queued| Shape { queued, ..DEFAULT_SHAPE },
        fixed: &[("tenants", 40.0), ("classes", 8.0), ("running", 8.0)],
        ids: Ids {
            arrival: "policy.arrival_ns.held",
            ending: "policy.ending_ns.held",
            timer: "policy.timer_ns.held",
            memory: "policy.memory_bytes.held",
        },
    },
    Axis {
        name: "policy.running",
        words: "running requests, none held",
        sizes: &[10, 100, 1_000, 10_000],
        target: 10_000.0,
        shape: |running| Shape { running, ..DEFAULT_SHAPE },
        fixed: &[("tenants", 40.0), ("classes", 8.0), ("held", 0.0)],
        ids: Ids {
            arrival: "policy.arrival_ns.running",
            ending: "policy.ending_ns.running",
            timer: "policy.timer_ns.running",
            memory: "policy.memory_bytes.running",
        },
    },
];
/// Sizes used by quick runs, which only check that the probe works.
const QUICK_SIZES: &[u64] = &[10, 40];

/// Probe of the admission controller.
pub struct AdmissionProbe;

impl Probe for AdmissionProbe {
    fn prefix(&self) -> &'static str {
        "policy"
    }

    fn run(&self, options: &ProbeOptions) -> Result<Vec<Slope>> {
        let mut slopes = Vec::new();
        for axis in &AXES {
            slopes.extend(axis.measure(options)?);
        }
        Ok(slopes)
    }
}

/// Measurements of one state.
#[derive(Serialize, Deserialize)]
struct Figures {
    /// Growth of the process's resident memory caused by the settings and the state, bytes.
    memory_bytes: f64,
    /// Costs of each run.
    costs: Vec<Costs>,
}

/// Returns the loads that build a state in a separate process, by name.
pub fn reporting_loads() -> [(&'static str, ReportingLoad); AXES.len()] {
    [
        (AXES[0].name, |size, seed| figures(&AXES[0], size, seed)),
        (AXES[1].name, |size, seed| figures(&AXES[1], size, seed)),
        (AXES[2].name, |size, seed| figures(&AXES[2], size, seed)),
        (AXES[3].name, |size, seed| figures(&AXES[3], size, seed)),
    ]
}

/// Builds the state and measures it. The first run is a warm-up that is not counted.
fn figures(axis: &Axis, size: u64, seed: u64) -> Result<String> {
    let shape = (axis.shape)(size as usize);
    let growth = Growth::begin();
    let mut load = Load::new(shape, seed);
    let memory_bytes = growth.bytes();
    load.run(LENGTH);
    let costs = (0..RUNS).map(|_| load.run(LENGTH)).collect();
    ensure!(
        load.running() == shape.running,
        "{} requests are running instead of {}",
        load.running(),
        shape.running
    );
    Ok(serde_json::to_string(&Figures { memory_bytes, costs })?)
}

impl Axis {
    fn measure(&self, options: &ProbeOptions) -> Result<Vec<Slope>> {
        let mut points: [Vec<Point>; 4] = Default::default();
        for &size in options.sizes(self.sizes, QUICK_SIZES) {
            for &seed in options.seeds() {
                let figures: Figures = child_process::report(self.name, size, seed)?;
                let values = |pick: fn(&Costs) -> f64| figures.costs.iter().map(pick).collect::<Vec<f64>>();
                points[0].push(Point::of(size as f64, seed, &values(|costs| costs.arrival)));
                points[1].push(Point::of(size as f64, seed, &values(|costs| costs.ending)));
                points[2].push(Point::of(size as f64, seed, &values(|costs| costs.timer)));
                points[3].push(Point::of(size as f64, seed, &[figures.memory_bytes]));
            }
        }
        let [arrival, ending, timer, memory] = points;
        let growth = "growth of resident memory by settings and state, in a process of its own";
        Ok(vec![
            self.time(self.ids.arrival, "`Policy::on_event` of one arrival").slope(arrival),
            self.time(self.ids.ending, "`Policy::on_event` of one ending").slope(ending),
            self.time(self.ids.timer, "`Policy::on_event` of one timer").slope(timer),
            self.quantity(self.ids.memory, growth, "bytes").slope(memory),
        ])
    }

    fn time(&self, id: &'static str, quantity: &'static str) -> Quantity {
        self.quantity(id, quantity, "ns")
    }

    fn quantity(&self, id: &'static str, quantity: &'static str, unit: &'static str) -> Quantity {
        Quantity { id, quantity, unit, against: self.words, fixed: self.fixed, target_size: self.target }
    }
}
