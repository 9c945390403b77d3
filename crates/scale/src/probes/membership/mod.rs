//! Measures membership: the traffic, processor time and memory of a member, and how fast it learns of changes
//! of other members.

mod case;
mod dissemination;
mod network;
mod node_address;
mod scenarios;
mod series;

use crate::child_process;
use crate::fit::Quantity;
use crate::probes::sample::{in_parallel, points};
use crate::probes::{Probe, ProbeOptions};
use crate::resident_growth::Growth;
use crate::slope::{Point, Slope};
use anyhow::{Result, anyhow};
use case::Case;
use dunlinspread_membership::{MemberId, Membership};
use node_address::address;
use scenarios::{Results, SingleResults, TARGET_MEMBERS, settings};
use series::{SERIES, SINGLE_SERIES};

/// Sizes of the simulated fleets, the largest first, since it takes the most time.
const SIZES: &[u64] = &[3_000, 1_000, 300, 100];
const QUICK_SIZES: &[u64] = &[40, 20];

/// Sizes of the views whose memory is measured.
const VIEW_SIZES: &[u64] = &[100, 1_000, 3_000, TARGET_MEMBERS];
const QUICK_VIEW_SIZES: &[u64] = &[100, 200];

/// Total number of members in the views whose memory is measured together: enough for a result well above the
/// size of a memory page.
const VIEWED_MEMBERS: u64 = 20_000;

/// Minimum and maximum number of views measured together.
const MIN_VIEWS: u64 = 8;
const MAX_VIEWS: u64 = 40;

/// Name of the load that runs all scenarios.
pub const SCENARIOS_LOAD: &str = "fleet";

/// Name of the load that runs the scenarios of the large run.
pub const SINGLE_LOAD: &str = "fleet-single";

/// Name of the load that measures the memory of a view.
pub const VIEW_LOAD: &str = "fleet-view";

/// Seed of the large run.
const LARGE_SEED: u64 = 1;

/// Probe of `crates/membership`.
pub struct MembershipProbe;

impl Probe for MembershipProbe {
    fn prefix(&self) -> &'static str {
        "fleet"
    }

    fn run(&self, options: &ProbeOptions) -> Result<Vec<Slope>> {
        let measured = run_cases(options)?;
        let mut slopes: Vec<Slope> = SERIES.iter().map(|series| series.slope(&measured, &[])).collect();
        let single: Vec<(Case, SingleResults)> =
            measured.iter().map(|(case, results)| (*case, results.single)).collect();
        let large = if options.large { vec![run_large()?] } else { Vec::new() };
        slopes.extend(SINGLE_SERIES.iter().map(|series| series.slope(&single, &large)));
        slopes.push(view_slope(options)?);
        Ok(slopes)
    }
}

/// Runs the scenarios at all sizes and seeds, each in a separate process.
fn run_cases(options: &ProbeOptions) -> Result<Vec<(Case, Results)>> {
    let sizes = options.sizes(SIZES, QUICK_SIZES);
    let inputs: Vec<Case> =
        sizes.iter().flat_map(|&size| options.seeds().iter().map(move |&seed| Case { size, seed })).collect();
    let results = in_parallel(&inputs, |case| child_process::report(SCENARIOS_LOAD, case.size, case.seed))?;
    let mut measured: Vec<(Case, Results)> = inputs.into_iter().zip(results).collect();
    measured.sort_by_key(|(case, _)| *case);
    Ok(measured)
}

/// Runs the scenarios of the large run.
fn run_large() -> Result<(Case, SingleResults)> {
    let case = Case { size: TARGET_MEMBERS, seed: LARGE_SEED };
    Ok((case, child_process::report(SINGLE_LOAD, case.size, case.seed)?))
}

/// Returns a report of all scenarios at one size.
///
/// # Errors
/// Returns the errors of [`scenarios::run_all`].
pub fn scenarios_load(size: u64, seed: u64) -> Result<String> {
    Ok(serde_json::to_string(&scenarios::run_all(size, seed)?)?)
}

/// Returns a report of the scenarios of the large run at one size.
///
/// # Errors
/// Returns the errors of [`scenarios::run_single`].
pub fn single_load(size: u64, seed: u64) -> Result<String> {
    Ok(serde_json::to_string(&scenarios::run_single(size, seed)?)?)
}

/// Returns the slope of the memory of one member's view as a function of the number of members.
fn view_slope(options: &ProbeOptions) -> Result<Slope> {
    let sizes = options.sizes(VIEW_SIZES, QUICK_VIEW_SIZES);
    let points: Vec<Point> = points(sizes, options.seeds(), |size, seed| {
        Ok(vec![child_process::measure(VIEW_LOAD, size, seed)?])
    })?;
    let quantity = Quantity {
        id: "fleet.view_bytes.members",
        quantity: "resident memory of one member's membership, all others just heard of",
        unit: "bytes",
        against: "members",
        fixed: &[("max_members", 10_000.0)],
        target_size: TARGET_MEMBERS as f64,
    };
    Ok(quantity.slope(points))
}

/// Returns the resident memory, in bytes, of the view of a member that has received an announcement from
/// every other member.
///
/// # Errors
/// Returns an error if the SWIM protocol returns one.
pub fn view_load(size: u64, seed: u64) -> Result<f64> {
    let views = (VIEWED_MEMBERS / size).clamp(MIN_VIEWS, MAX_VIEWS);
    let node_of_view = |view: u64| (size + view) as usize;
    let member = |node: usize| {
        let id = MemberId { address: address(node), start: 1, incarnation: 0 };
        Membership::new(id, &settings(), seed + node as u64, 0)
    };
    let observers: Vec<_> = (0..views).map(|view| address(node_of_view(view))).collect();
    let mut announcements = Vec::new();
    for node in 0..size - 1 {
        let mut other = member(node as usize)?;
        other.join(0, &observers).map_err(|error| anyhow!("{error}"))?;
        announcements.push(other.take_datagrams());
    }
    let growth = Growth::begin();
    let mut filled = Vec::new();
    for view in 0..views {
        let mut observer = member(node_of_view(view))?;
        for datagrams in &announcements {
            observer.on_datagram(0, &datagrams[view as usize].1);
            observer.take_datagrams();
        }
        observer.take_changes();
        filled.push(observer);
    }
    Ok(growth.bytes() / filled.len() as f64)
}
