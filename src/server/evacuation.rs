//! Evacuation, and the health that the server answers and reports: a state machine without I/O or clock.
//!
//! # Invariants
//! - The server is healthy only while it serves, and only if the admission controller and the usage ledger say so.
//! - A report is due at each change of that, and at nothing else.
//! - Nothing ends a shutdown.

/// Whether the server wants clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServiceState {
    /// It takes clients.
    Serving,
    /// An operator sends its clients elsewhere; it answers them as ever.
    Evacuated,
    /// It shuts down.
    ShuttingDown,
}

/// What health depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HealthInput {
    /// An operator sends clients elsewhere.
    Evacuate,
    /// An operator takes clients again.
    Rejoin,
    /// The admission controller takes the server for healthy, or not.
    ControllerHealth(bool),
    /// Responses can be billed or need not be, or they can't be billed.
    BillingHealth(bool),
    /// The end of the process was requested.
    Shutdown,
}

/// The health of the server, and what it follows from. The registry takes a new server for healthy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ServiceHealth {
    state: ServiceState,
    is_controller_healthy: bool,
    can_bill: bool,
}

impl Default for ServiceHealth {
    fn default() -> Self {
        ServiceHealth { state: ServiceState::Serving, is_controller_healthy: true, can_bill: true }
    }
}

impl ServiceHealth {
    /// Returns whether the server wants clients.
    pub fn state(&self) -> ServiceState {
        self.state
    }

    /// Returns whether the admission controller takes the server for healthy.
    pub fn is_controller_healthy(&self) -> bool {
        self.is_controller_healthy
    }

    /// Returns the health to answer and to report.
    pub fn is_healthy(&self) -> bool {
        self.state == ServiceState::Serving && self.is_controller_healthy && self.can_bill
    }

    /// Takes inputs that came together, and returns the health to report if a report is due. None is due for what the
    /// health would be between two of them.
    #[must_use = "a report may be due"]
    pub fn on_inputs(&mut self, inputs: &[HealthInput]) -> Option<bool> {
        let before = self.is_healthy();
        for input in inputs {
            self.apply(*input);
        }
        let after = self.is_healthy();
        (after != before).then_some(after)
    }

    fn apply(&mut self, input: HealthInput) {
        match input {
            HealthInput::Evacuate => self.change_state(ServiceState::Evacuated),
            HealthInput::Rejoin => self.change_state(ServiceState::Serving),
            HealthInput::ControllerHealth(healthy) => self.is_controller_healthy = healthy,
            HealthInput::BillingHealth(can_bill) => self.can_bill = can_bill,
            HealthInput::Shutdown => self.change_state(ServiceState::ShuttingDown),
        }
    }

    fn change_state(&mut self, state: ServiceState) {
        if self.state != ServiceState::ShuttingDown {
            self.state = state;
        }
    }
}
