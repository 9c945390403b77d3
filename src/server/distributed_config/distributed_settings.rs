//! The distributed settings on the serving thread.
//!
//! Connections look up names for each request. A change is swapped in only while no request is between its lookup and
//! the dispatcher's mailbox; the mailbox keeps order, so it separates requests decoded before the change from those
//! decoded after it.

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

/// Interval at which a change that can't be swapped in yet, and whoever waits for it, check again, ms.
const RETRY_MS: f64 = 1.0;
/// Changes up to this many are applied on the serving thread; more are applied to a copy on a thread of their own.
const MAX_CHANGES_IN_PLACE: usize = 256;
/// The position of a request whose tenant is not listed, at a site whose platform lists no tenants: it has no quota.
const UNLISTED_TENANT: usize = usize::MAX;

/// The distributed settings in force, shared by all tasks of the serving thread.
pub struct DistributedSettings {
    effective: RefCell<Arc<EffectiveSettings>>,
    /// Requests between their lookup and the dispatcher's mailbox.
    lookups_in_flight: Cell<usize>,
    /// Whether a change waits for those, so that further requests wait for the change.
    is_change_pending: Cell<bool>,
}

/// A request between its lookup and the dispatcher's mailbox; no change is swapped in while one exists.
pub struct LookupGuard<'a>(&'a DistributedSettings);

impl Drop for LookupGuard<'_> {
    fn drop(&mut self) {
        self.0.lookups_in_flight.set(self.0.lookups_in_flight.get() - 1);
    }
}

/// Sizes of the distributed settings after a change, for the log and for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedCounts {
    /// Tenants that the platform does not list.
    pub tenants: usize,
    /// Routes.
    pub routes: usize,
}

impl DistributedSettings {
    /// Returns settings with nothing distributed in force beyond `effective`.
    pub fn new(effective: EffectiveSettings) -> DistributedSettings {
        DistributedSettings {
            effective: RefCell::new(Arc::new(effective)),
            lookups_in_flight: Cell::new(0),
            is_change_pending: Cell::new(false),
        }
    }

    /// Returns the position of the tenant that a request names, or `None` if the request has to be turned down.
    pub fn tenant(&self, name: Option<&str>) -> Option<usize> {
        let effective = self.effective.borrow();
        let position = name.and_then(|name| effective.tenant(name));
        if effective.platform_lists_tenants() {
            return position;
        }
        position.or(Some(UNLISTED_TENANT))
    }

    /// Returns the position of the class that a route leads to.
    pub fn route(&self, method: &[u8]) -> Option<usize> {
        self.effective.borrow().route(method)
    }

    /// Waits while a change waits to be swapped in.
    pub async fn wait_for_pending_change(&self, wheel: &Rc<TimerWheel>) {
        while self.is_change_pending.get() {
            wheel.sleep(RETRY_MS).await;
        }
    }

    /// Returns a guard to be held from a request's lookup until it is in the dispatcher's mailbox.
    pub fn guard_lookup(&self) -> LookupGuard<'_> {
        self.lookups_in_flight.set(self.lookups_in_flight.get() + 1);
        LookupGuard(self)
    }

    /// Applies changes and waits until the dispatcher has them; one call at a time.
    ///
    /// # Errors
    /// If the changes could not be applied; none of them is in force then.
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
            wheel.sleep(RETRY_MS).await;
        }
        let applied = self.swap(prepared, dispatcher);
        self.is_change_pending.set(false);
        applied?.recv().await.map_err(|_| ApplyError::DispatcherGone)?;
        let mut effective = self.effective.borrow_mut();
        Arc::make_mut(&mut effective).recycle_positions();
        Ok(AppliedCounts { tenants: effective.tenant_count(), routes: effective.route_count() })
    }

    fn can_swap(&self, dispatcher: &DispatcherSender) -> bool {
        self.lookups_in_flight.get() == 0 && !dispatcher.is_full_for_requests()
    }

    /// Applies changes to a copy on a thread of its own. Without a thread they are left to be applied in place.
    async fn prepare_copy(&self, changes: Vec<Change>) -> Result<PreparedChange, ApplyError> {
        let (job_sender, jobs) = async_channel::bounded(1);
        let (copy_sender, copies) = async_channel::bounded(1);
        let (replaced, replaced_receiver) = async_channel::bounded(1);
        let work = move || {
            if let Ok((effective, changes)) = jobs.recv_blocking() {
                let _ = copy_sender.send_blocking(apply_to_copy(effective, changes));
            }
            // Large tables take a while to free, which is kept off the serving thread.
            drop(replaced_receiver.recv_blocking());
        };
        if std::thread::Builder::new().name("config-copy".to_owned()).spawn(work).is_err() {
            return Ok(PreparedChange::InPlace(changes));
        }
        // The thread waits for its one job, so the queue has capacity.
        let _ = job_sender.try_send((self.effective.borrow().clone(), changes));
        let (next, reconfiguration) = copies.recv().await.map_err(|_| ApplyError::CopyFailed)?;
        Ok(PreparedChange::Copy { next, reconfiguration, replaced })
    }

    /// Swaps the settings in one step: nothing else runs on this thread meanwhile.
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

/// Changes that wait to be swapped in.
enum PreparedChange {
    /// Changes to be applied on the serving thread.
    InPlace(Vec<Change>),
    /// Changes that were applied to a copy.
    Copy {
        next: Arc<EffectiveSettings>,
        reconfiguration: Reconfiguration,
        /// Takes the settings that the copy replaces, to be freed.
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
