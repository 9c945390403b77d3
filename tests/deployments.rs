//! Tests of the controller under the settings of many deployments: with and without deadlines in requests,
//! preemption, upstream calls, tenant quotas and idempotency keys. Each deployment runs with several seeds
//! against a small simulated machine with faults (failing runs, a stall, a flood by one tenant, a drain), and
//! the platform's four rules are checked on the controller's actions. They show that the rules don't depend
//! on the figures of one site.

mod common;
mod machine;

use common::{class, settings};
use dunlinspread::{Class, Preemption, RetrySafety, Settings, Signal};
use machine::Machine;

/// Settings that differ between deployments.
struct Deployment {
    passes_deadline: bool,
    preemption: Preemption,
    has_upstream: bool,
    upstream_call_share: Option<f64>,
    tenant_quotas: Vec<f64>,
}

impl Deployment {
    fn classes(&self) -> Vec<Class> {
        let makes_upstream_calls = self.has_upstream;
        vec![
            Class { makes_upstream_calls, degraded_weight: 0.5, ..class(RetrySafety::Idempotent) },
            Class {
                makes_upstream_calls,
                priority_weight: 5.0,
                late_weight: 0.0,
                ..class(RetrySafety::IdempotencyKey)
            },
            Class {
                makes_upstream_calls: false,
                late_weight: 0.0,
                latency_objective_ms: 300.0,
                client_timeout_ms: 900.0,
                ..class(RetrySafety::Idempotent)
            },
            Class { makes_upstream_calls, ..class(RetrySafety::AtMostOnce) },
        ]
    }

    fn settings(self) -> Settings {
        let classes = self.classes();
        Settings {
            passes_deadline: self.passes_deadline,
            preemption: self.preemption,
            has_upstream: self.has_upstream,
            upstream_call_share: self.upstream_call_share,
            over_quota_weight: 0.05,
            retry_after: true,
            memory_kb: if self.passes_deadline { 1500.0 } else { 4000.0 },
            max_retry_after_ms: 1000.0,
            // Slack and grace of the two sites, and a deployment without grace.
            response_slack_ms: if self.passes_deadline { 60.0 } else { 80.0 },
            drain_grace_ms: if self.tenant_quotas.is_empty() { 0.0 } else { 700.0 },
            cold_start: !self.passes_deadline,
            cold_start_speed: 0.3,
            warm_up_ms: 4000.0,
            signal: if self.has_upstream { Signal::Share } else { Signal::Off },
            tenant_quotas: self.tenant_quotas,
            classes,
            ..settings()
        }
    }
}

/// Returns all combinations of the settings that change the controller's obligations, each with its name.
fn deployments() -> Vec<(String, Settings)> {
    let preemptions =
        [("no preemption", Preemption::Off), ("abort", Preemption::Abort), ("suspend", Preemption::Suspend)];
    let upstreams =
        [("no upstream", false, None), ("upstream", true, None), ("shared upstream", true, Some(2.0))];
    let mut all = Vec::new();
    for (deadlines, passes_deadline) in [("no deadlines", false), ("deadlines", true)] {
        for (preemption_name, preemption) in preemptions {
            for (upstream, has_upstream, upstream_call_share) in upstreams {
                for tenant_quotas in [vec![], vec![20.0, 10.0, 5.0]] {
                    let tenants = tenant_quotas.len();
                    let name = format!("{deadlines}, {preemption_name}, {upstream}, {tenants} tenants");
                    let deployment = Deployment {
                        passes_deadline,
                        preemption,
                        has_upstream,
                        upstream_call_share,
                        tenant_quotas,
                    };
                    all.push((name, deployment.settings()));
                }
            }
        }
    }
    all
}

/// Runs each deployment with the given seeds, and returns the violated rules with the deployment and the
/// seed.
fn run_deployments(seeds: std::ops::Range<u64>, change: fn(&mut Machine)) -> Vec<String> {
    let mut violations = Vec::new();
    for (name, settings) in deployments() {
        for seed in seeds.clone() {
            let mut machine = Machine::new(seed, settings.clone());
            change(&mut machine);
            machine.play();
            assert!(machine.served > 20, "{name}, seed {seed}: only {} served", machine.served);
            violations.extend(
                machine.violations.iter().map(|violation| format!("{name}, seed {seed}: {violation}")),
            );
        }
    }
    violations
}

/// Guards against a run time estimate that rejects all requests for good. It would come about in a stall from
/// the start, when only the stalled runs have been measured; once the stall is over, requests must be served
/// again.
#[test]
fn a_stall_at_the_start_is_over_once_it_is_over() {
    for (name, mut settings) in deployments() {
        // A request that is expected to be late is not run if late responses are worth nothing.
        settings.classes.iter_mut().for_each(|c| c.late_weight = 0.0);
        let mut machine = Machine::new(7, settings);
        machine.stall_from_start(3000.0);
        machine.play();
        assert!(machine.violations.is_empty(), "{name}: {:?}", machine.violations);
        let fewest = machine.served_after.iter().min();
        assert!(
            fewest.is_some_and(|count| *count > 10),
            "{name}: served by class after the stall: {:?}",
            machine.served_after
        );
    }
}

#[test]
fn the_rules_hold_under_every_deployment() {
    let violations = run_deployments(1..4, |_| {});
    assert!(
        violations.is_empty(),
        "{} violations:\n{}",
        violations.len(),
        violations[..violations.len().min(10)].join("\n")
    );
}

/// Asserts that the checks detect requests whose deadlines are not passed to the controller.
#[test]
fn a_deadline_that_the_controller_does_not_hear_is_caught() {
    let violations = run_deployments(1..4, |machine| machine.hides_deadlines = true);
    assert!(violations.iter().all(|violation| violation.starts_with("deadlines")), "{violations:?}");
    let violations: Vec<&String> =
        violations.iter().filter(|violation| violation.contains("no answer to")).collect();
    let with_deadlines = deployments().iter().filter(|(name, _)| name.starts_with("deadlines")).count();
    let detected_in: std::collections::BTreeSet<&str> =
        violations.iter().filter_map(|violation| violation.split(", seed").next()).collect();
    assert!(
        detected_in.len() * 2 > with_deadlines,
        "only {} of {with_deadlines} deployments with deadlines have violations",
        detected_in.len()
    );
}
