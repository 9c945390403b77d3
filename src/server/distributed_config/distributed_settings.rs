//! Distributed settings on the serving thread.
//!
//! Connections look up names for each request. A change is swapped in only while no request is between its
//! lookup and the dispatcher's mailbox. The mailbox preserves order, so the change's message separates
//! requests decoded before the change from those decoded after it.

use super::effective_settings::EffectiveSettings;
use super::error::ApplyError;
use crate::admission::Reconfiguration;
use crate::server::messages::{DispatcherMessage, DispatcherSender, Reconfigured};
use crate::server::timer_wheel::TimerWheel;
use async_channel::{Receiver, Sender};
use dunlinspread_config_sync::resource::Change;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// Interval in ms at which a change that can't be swapped in yet, and the requests that wait for it, check
/// again.
const SWAP_CHECK_INTERVAL_MS: f64 = 1.0;
/// Up to this number of changes is applied on the serving thread; more are applied to a copy on a separate
/// thread.
const MAX_CHANGES_IN_PLACE: usize = 256;
/// Tenant position of a request whose tenant is not listed, on a server whose platform lists no tenants. It
/// has no quota.
const UNLISTED_TENANT: usize = usize::MAX;

/// Settings in force, shared by all tasks of the serving thread.
pub struct DistributedSettings {
    effective: RefCell<Arc<EffectiveSettings>>,
    /// Number of requests between their lookup and the dispatcher's mailbox.
    lookups_in_flight: Cell<usize>,
    /// Whether a change waits to be swapped in; new requests then wait for the change.
    is_change_pending: Cell<bool>,
}

/// Marks a request between its lookup and the dispatcher's mailbox. No change is swapped in while a guard
/// exists.
pub struct LookupGuard<'a>(&'a DistributedSettings);

impl Drop for LookupGuard<'_> {
    fn drop(&mut self) {
        self.0.lookups_in_flight.set(self.0.lookups_in_flight.get() - 1);
    }
}

/// Sizes of the distributed settings after a change, for the log and for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedCounts {
    /// Number of tenants that the platform does not list.
    pub tenants: usize,
    /// Number of routes.
    pub routes: usize,
}

impl DistributedSettings {
    /// Returns settings whose initial state is `effective`.
    pub fn new(effective: EffectiveSettings) -> DistributedSettings {
        DistributedSettings {
            effective: RefCell::new(Arc::new(effective)),
            lookups_in_flight: Cell::new(0),
            is_change_pending: Cell::new(false),
        }
    }

    /// Returns the position of the tenant that a request names, or `None` if the request must be rejected.
    pub fn tenant(&self, name: Option<&str>) -> Option<usize> {
        let effective = self.effective.borrow();
        let position = name.and_then(|name| effective.tenant(name));
        if effective.platform_lists_tenants() {
            return position;
        }
        position.or(Some(UNLISTED_TENANT))
    }

    /// Returns the position of the class that the route for a method names, or `None` if there is no such
    /// route.
    pub fn route(&self, method: &[u8]) -> Option<usize> {
        self.effective.borrow().route(method)
    }

    /// Waits until no change is waiting to be swapped in.
    pub async fn wait_for_pending_change(&self, wheel: &Rc<TimerWheel>) {
        while self.is_change_pending.get() {
            wheel.sleep(SWAP_CHECK_INTERVAL_MS).await;
        }
    }

    /// Returns a guard that the caller holds from a request's lookup until the request is in the dispatcher's
    /// mailbox.
    pub fn guard_lookup(&self) -> LookupGuard<'_> {
        self.lookups_in_flight.set(self.lookups_in_flight.get() + 1);
        LookupGuard(self)
    }

    /// Applies changes and waits until the dispatcher has applied them. Only one call may be in progress at a
    /// time.
    ///
    /// # Errors
    /// - [`ApplyError::CopyFailed`] if the thread that applied the changes to a copy panicked.
    /// - [`ApplyError::DispatcherGone`] if the dispatcher has ended.
    pub async fn apply(
        &self,
        changes: Vec<Change>,
        dispatcher: &DispatcherSender,
        wheel: &Rc<TimerWheel>,
    ) -> Result<AppliedCounts, ApplyError> {
        let is_small = changes.len() <= MAX_CHANGES_IN_PLACE;
        let prepared = if is_small && self.effective.borrow().has_capacity(changes.len()) {
            PreparedChange::InPlace(changes)
        } else {
            self.prepare_copy(changes).await?
        };
        self.is_change_pending.set(!self.can_swap(dispatcher));
        while !self.can_swap(dispatcher) {
            wheel.sleep(SWAP_CHECK_INTERVAL_MS).await;
        }
        let applied = self.swap(prepared, dispatcher);
        self.is_change_pending.set(false);
        applied?.recv().await.map_err(|_| ApplyError::DispatcherGone)?;
        let mut effective = self.effective.borrow_mut();
        Arc::make_mut(&mut effective).recycle_positions();
        Ok(AppliedCounts { tenants: effective.tenant_count(), routes: effective.route_count() })
    }

    /// Returns whether no request is between its lookup and the mailbox, and the mailbox has capacity.
    fn can_swap(&self, dispatcher: &DispatcherSender) -> bool {
        self.lookups_in_flight.get() == 0 && !dispatcher.is_full_for_requests()
    }

    /// Applies changes to a copy on a separate thread. If the thread can't be started, returns the changes to
    /// be applied in place.
    async fn prepare_copy(&self, changes: Vec<Change>) -> Result<PreparedChange, ApplyError> {
        let (job_sender, jobs) = async_channel::bounded(1);
        let (copy_sender, copies) = async_channel::bounded(1);
        let (replaced, replaced_receiver) = async_channel::bounded(1);
        let work = move || {
            if let Ok((effective, changes)) = jobs.recv_blocking() {
                let _ = copy_sender.send_blocking(apply_to_copy(effective, changes));
            }
            // Freeing large tables takes long, so the replaced settings are not freed on the serving thread.
            drop(replaced_receiver.recv_blocking());
        };
        if std::thread::Builder::new().name("config-copy".to_owned()).spawn(work).is_err() {
            return Ok(PreparedChange::InPlace(changes));
        }
        // Never fails because of capacity: this is the only job, and the queue holds one.
        let _ = job_sender.try_send((self.effective.borrow().clone(), changes));
        let (next, reconfiguration) = copies.recv().await.map_err(|_| ApplyError::CopyFailed)?;
        Ok(PreparedChange::Copy { next, reconfiguration, replaced })
    }

    /// Swaps the settings in one step, without yielding to other tasks of this thread. Returns the channel on
    /// which the dispatcher confirms the change.
    fn swap(
        &self,
        prepared: PreparedChange,
        dispatcher: &DispatcherSender,
    ) -> Result<Receiver<()>, ApplyError> {
        let mut effective = self.effective.borrow_mut();
        let changes = match prepared {
            PreparedChange::InPlace(changes) => Arc::make_mut(&mut effective).apply(&changes),
            PreparedChange::Copy { next, reconfiguration, replaced } => {
                let _ = replaced.try_send(std::mem::replace(&mut *effective, next));
                reconfiguration
            }
        };
        let (done, applied) = async_channel::bounded(1);
        let message = DispatcherMessage::Reconfigured(Box::new(Reconfigured { changes, done }));
        dispatcher.try_send(message).map_err(|_| ApplyError::DispatcherGone)?;
        Ok(applied)
    }
}

/// Changes that are ready to be swapped in.
enum PreparedChange {
    /// Changes to be applied on the serving thread.
    InPlace(Vec<Change>),
    /// Changes that were applied to a copy, which replaces the settings in force.
    Copy {
        next: Arc<EffectiveSettings>,
        reconfiguration: Reconfiguration,
        /// Sends the replaced settings to the thread that frees them.
        replaced: Sender<Arc<EffectiveSettings>>,
    },
}

fn apply_to_copy(
    effective: Arc<EffectiveSettings>,
    changes: Vec<Change>,
) -> (Arc<EffectiveSettings>, Reconfiguration) {
    let mut next = (*effective).clone();
    drop(effective);
    next.reserve(changes.len());
    let reconfiguration = next.apply(&changes);
    (Arc::new(next), reconfiguration)
}
