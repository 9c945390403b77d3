//! The same days under the settings of many deployments: with and without told waits, pause, calls, tenants and keys.
//! Each case is played on seeds against a small machine, with troubles (runs that fail, a hang, a flood of one
//! tenant, a drain), and the platform's four rules are judged from what was done. What holds here holds by the
//! settings, not by one site's figures.

mod common;
mod machine;

use common::{class, settings};
use dunlinspread::{Class, Preemption, RetrySafety, Settings, Signal};
use machine::Machine;

/// What can differ between deployments.
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
            // The two sites' slack and grace, and one with neither.
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

/// Every deployment that the settings can describe in what changes the controller's duties, by name.
fn deployments() -> Vec<(String, Settings)> {
    let preemptions =
        [("keeps", Preemption::Off), ("drops", Preemption::Abort), ("pauses", Preemption::Suspend)];
    let upstreams = [("alone", false, None), ("tier", true, None), ("shared", true, Some(2.0))];
    let mut all = Vec::new();
    for (deadlines, passes_deadline) in [("untold", false), ("told", true)] {
        for (halt, preemption) in preemptions {
            for (upstream, has_upstream, upstream_call_share) in upstreams {
                for tenant_quotas in [vec![], vec![20.0, 10.0, 5.0]] {
                    let tenants = tenant_quotas.len();
                    let name = format!("{deadlines}, {halt}, {upstream}, {tenants} tenants");
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

/// Plays every deployment on seeds of its own; what broke, with the case and the seed.
fn play(seeds: std::ops::Range<u64>, change: fn(&mut Machine)) -> Vec<String> {
    let mut violations = Vec::new();
    for (name, settings) in deployments() {
        for seed in seeds.clone() {
            let mut machine = Machine::new(seed, settings.clone());
            change(&mut machine);
            machine.play();
            assert!(machine.served > 20, "{name}, seed {seed}: only {} served", machine.served);
            violations.extend(machine.violations.iter().map(|what| format!("{name}, seed {seed}: {what}")));
        }
    }
    violations
}

/// Work that stands still from the start, before any run has shown what it takes: once it goes on, so does service. An
/// estimate learnt from the runs that stood still must not turn everything away for good.
#[test]
fn a_stall_at_the_start_is_over_once_it_is_over() {
    for (name, mut settings) in deployments() {
        // Where late answers are worth nothing, what looks late is not run.
        settings.classes.iter_mut().for_each(|c| c.late_weight = 0.0);
        let mut machine = Machine::new(7, settings);
        machine.stall_from_start(3000.0);
        machine.play();
        assert!(machine.violations.is_empty(), "{name}: {:?}", machine.violations);
        let least = machine.served_after.iter().min();
        assert!(least.is_some_and(|n| *n > 10), "{name}: by class {:?} after the hang", machine.served_after);
    }
}

#[test]
fn the_rules_hold_under_every_deployment() {
    let violations = play(1..4, |_| {});
    assert!(
        violations.is_empty(),
        "{} broken:\n{}",
        violations.len(),
        violations[..violations.len().min(10)].join("\n")
    );
}

/// The fault of the first play on a second deployment: waits that are told, but not to the controller.
#[test]
fn a_deadline_that_the_controller_does_not_hear_is_caught() {
    let violations = play(1..4, |machine| machine.hides_deadlines = true);
    assert!(violations.iter().all(|b| b.starts_with("told")), "{violations:?}");
    let violations: Vec<&String> = violations.iter().filter(|b| b.contains("no answer to")).collect();
    let told = deployments().iter().filter(|(name, _)| name.starts_with("told")).count();
    let seen: std::collections::BTreeSet<&str> =
        violations.iter().filter_map(|b| b.split(", seed").next()).collect();
    assert!(seen.len() * 2 > told, "of {told} deployments with told waits only {} show it", seen.len());
}
