//! A small driver for tests of the module: plain settings, and a log of what was done.
#![allow(dead_code)]

use dunlinspread::*;

pub fn class(effect: Effect) -> Class {
    Class {
        effect,
        aim_ms: 1000.0,
        aim_stretch: 0.0,
        give_up_ms: 3000.0,
        window_ms: 10_000.0,
        worth: 1.0,
        late_worth: 0.2,
        calls: true,
        skip_worth: 0.0,
    }
}

/// Two cores; class 0 safe, 1 keyed, 2 unsafe.
pub fn settings() -> Settings {
    Settings {
        seed: 1,
        servers: 4.0,
        cores: 2.0,
        tick_ms: 5.0,
        survivable_per_core: 5.0,
        crowd_window_ms: 1500.0,
        memory_kb: 10_000.0,
        run_factor: 4.0,
        key_kb: 50.0,
        signal: Signal::Share,
        drain_grace_ms: 1000.0,
        answer_slack_ms: 80.0,
        linger_ms: 200.0,
        classes: vec![class(Effect::Safe), class(Effect::Keyed), class(Effect::Unsafe)],
        ..Settings::default()
    }
}

pub struct Driver {
    pub policy: Policy,
    pub now: f64,
    next: u64,
}

impl Driver {
    pub fn new(settings: Settings) -> Self {
        let mut d = Driver { policy: Policy::new(0.0, settings), now: 0.0, next: 1 };
        d.send(Event::Start);
        d
    }

    pub fn send(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.policy.on_event(self.now, event, &mut out);
        out
    }

    pub fn arrival(&mut self, class: usize) -> Arrival {
        self.next += 1;
        Arrival { id: self.next, class, held_kb: 20.0, rank: 0.5, ..Arrival::default() }
    }

    /// An arrival of the class at a middling rank: its id and what was done.
    pub fn arrive(&mut self, class: usize) -> (u64, Vec<Action>) {
        let a = self.arrival(class);
        (a.id, self.send(Event::Arrive(a)))
    }

    pub fn repeat(&mut self, class: usize, prior: u64) -> (u64, Vec<Action>) {
        let a = Arrival { prior: Some(prior), ..self.arrival(class) };
        (a.id, self.send(Event::Arrive(a)))
    }

    pub fn end(&mut self, id: u64, outcome: Outcome) -> Vec<Action> {
        self.send(Event::Ended { id, outcome, took_ms: 100.0 })
    }

    /// A running request makes progress: it comes to a call, which is answered.
    pub fn progress(&mut self, id: u64) {
        self.send(Event::CallNeeded(id));
        self.send(Event::CallEnded { id, outcome: Outcome::Ok, took_ms: 1.0 });
    }

    /// The periodic timer, with these gauges, 50 ms on.
    pub fn tick(&mut self, busy: f64, run_queue: f64) -> Vec<Action> {
        self.now += 50.0;
        let gauges = Gauges { busy: Some(busy), run_queue: Some(run_queue), ..Gauges::default() };
        self.send(Event::Timer { token: 1, gauges })
    }

    pub fn run_until(&mut self, until: f64) -> Vec<Action> {
        let mut all = Vec::new();
        while self.now < until {
            all.extend(self.tick(1.0, 2.0));
        }
        all
    }
}

pub fn runs(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Run(id))
}

pub fn answers(actions: &[Action], id: u64) -> usize {
    let of = |a: &&Action| matches!(a, Action::Fail(x) | Action::Refuse { id: x, .. } if *x == id);
    actions.iter().filter(of).count()
}

pub fn refused(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { id: x, .. } if *x == id))
}
