//! Errors of distributed settings.

/// Error of applying changes. None of the changes is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The dispatcher has ended because the process is shutting down.
    #[error("the dispatcher has ended")]
    DispatcherGone,
    /// The thread that applied the changes to a copy panicked.
    #[error("the thread that applied the changes to a copy panicked")]
    CopyFailed,
}

/// Reason why this server rejects changes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// A class limit names a class that this server does not have.
    #[error("class `{class}` is not known on this server")]
    UnknownClass {
        /// Name of the class.
        class: String,
    },
    /// A route names a class that this server does not have.
    #[error("route `{route}`: class `{class}` is not known on this server")]
    UnknownClassOfRoute {
        /// Name of the route.
        route: String,
        /// Name of the class.
        class: String,
    },
    /// The changes would exceed the server's limit of tenants.
    #[error("{count} tenants exceed this server's limit of {max}")]
    TooManyTenants {
        /// Number of tenants after the changes, including the platform's.
        count: usize,
        /// Maximum number of tenants.
        max: usize,
    },
    /// The changes would exceed the server's limit of routes.
    #[error("{count} routes exceed this server's limit of {max}")]
    TooManyRoutes {
        /// Number of routes after the changes.
        count: usize,
        /// Maximum number of routes.
        max: usize,
    },
}
