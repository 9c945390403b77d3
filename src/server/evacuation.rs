//! State machine of evacuation and of the health that the server reports and returns to queries, without I/O
//! or clock.
//!
//! # Invariants
//! - The server is healthy only while it serves, the admission controller considers it healthy and responses
//!   can be billed or need no billing.
//! - A report is due at each change of the health, and at no other time.
//! - A shutdown is final: no input leads to another state.

/// State of the service with regard to new clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServiceState {
    /// The server accepts clients.
    Serving,
    /// An operator directs clients to other servers; requests are still served as usual.
    Evacuated,
    /// The server is shutting down.
    ShuttingDown,
}

/// An event that can change the health.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HealthInput {
    /// An operator directs clients to other servers.
    Evacuate,
    /// An operator ends the evacuation.
    Rejoin,
    /// Whether the admission controller considers the server healthy.
    ControllerHealth(bool),
    /// Whether responses can be billed or need no billing.
    BillingHealth(bool),
    /// A shutdown of the process was requested.
    Shutdown,
}

/// Health of the server and the conditions that determine it. A new server is healthy, as the registry
/// assumes.
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
    /// Returns the state of the service.
    pub fn state(&self) -> ServiceState {
        self.state
    }

    /// Returns whether the admission controller considers the server healthy.
    pub fn is_controller_healthy(&self) -> bool {
        self.is_controller_healthy
    }

    /// Returns the health for queries and for reports.
    pub fn is_healthy(&self) -> bool {
        self.state == ServiceState::Serving && self.is_controller_healthy && self.can_bill
    }

    /// Applies inputs that arrived together, and returns the health to report if it has changed. Intermediate
    /// changes between two of the inputs are not reported.
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
