//! Errors of distributed settings.

/// Why changes were not applied; the settings in force are as they were.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The process ends.
    #[error("the dispatcher has ended")]
    DispatcherGone,
    /// The thread that applied the changes to a copy panicked.
    #[error("the thread that applied the changes to a copy panicked")]
    CopyFailed,
}

/// Why changes can't be applied on this server.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// A class limit names a class that the server does not know.
    #[error("class `{class}` is not known on this server")]
    UnknownClass {
        /// The class.
        class: String,
    },
    /// A route leads to a class that the server does not know.
    #[error("route `{route}`: class `{class}` is not known on this server")]
    UnknownClassOfRoute {
        /// The route.
        route: String,
        /// The class.
        class: String,
    },
    /// There would be more tenants than the server takes.
    #[error("{count} tenants, this server takes {max}")]
    TooManyTenants {
        /// Tenants after the changes, including the platform's.
        count: usize,
        /// The most tenants.
        max: usize,
    },
    /// There would be more routes than the server takes.
    #[error("{count} routes, this server takes {max}")]
    TooManyRoutes {
        /// Routes after the changes.
        count: usize,
        /// The most routes.
        max: usize,
    },
}
