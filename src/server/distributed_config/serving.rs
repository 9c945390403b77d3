//! The serving thread's side. Fronts look names up here for each request; a change is swapped in only while no request
//! is between its look-up and the core's mailbox, so that the mailbox, which keeps order, separates the requests read
//! before the change from those read after it.

use super::InForce;
use crate::admission::Reconfiguration;
use crate::server::messages::{DispatcherMessage, Reconfigured};
use crate::server::timer_wheel::TimerWheel;
use async_channel::{Receiver, Sender};
use dunlinspread_config_sync::resource::Change;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// How often a change that can't be swapped in yet, and whoever waits for it, look again, ms.
const RETRY_MS: f64 = 1.0;
/// Changes up to this many are applied on the serving thread; more are applied to a copy on a thread of their own.
const IN_PLACE: usize = 256;
/// The position of a request whose tenant is not listed, at a site whose platform lists no tenants: it has no allowance.
const NO_TENANT: usize = usize::MAX;

/// The distributed settings in force, shared by all actors of the serving thread.
pub struct Distributed {
    in_force: RefCell<Arc<InForce>>,
    /// Requests that were looked up and are not in the core's mailbox yet.
    on_their_way: Cell<usize>,
    /// A change waits for those, and further requests wait for the change.
    change_waits: Cell<bool>,
}

/// Stands for one request between its look-up and the core's mailbox.
pub struct Pass<'a>(&'a Distributed);

impl Drop for Pass<'_> {
    fn drop(&mut self) {
        self.0.on_their_way.set(self.0.on_their_way.get() - 1);
    }
}

/// Why changes were not put in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PutError {
    /// The program ends.
    #[error("the core is gone")]
    CoreGone,
    /// The thread that applied them to a copy died; the settings in force are as they were.
    #[error("the thread that prepared them died")]
    NotPrepared,
}

/// A change that the core has in force, for the log and for measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Taken {
    /// Tenants that the platform does not list.
    pub tenants: usize,
    /// Routes.
    pub routes: usize,
}

impl Distributed {
    /// Nothing distributed is in force yet.
    pub fn new(in_force: InForce) -> Distributed {
        Distributed {
            in_force: RefCell::new(Arc::new(in_force)),
            on_their_way: Cell::new(0),
            change_waits: Cell::new(false),
        }
    }

    /// The tenant of a request that names `org`, by position; none for a request that has to be turned down.
    pub fn tenant(&self, org: Option<&str>) -> Option<usize> {
        let in_force = self.in_force.borrow();
        let position = org.and_then(|name| in_force.tenant(name));
        if in_force.platform_lists_tenants() { position } else { position.or(Some(NO_TENANT)) }
    }

    /// The class that the route of that name leads to, by position.
    pub fn route(&self, method: &[u8]) -> Option<usize> {
        self.in_force.borrow().route(method)
    }

    /// Waits while a change waits to be swapped in.
    pub async fn may_look_up(&self, wheel: &Rc<TimerWheel>) {
        while self.change_waits.get() {
            wheel.sleep(RETRY_MS).await;
        }
    }

    /// To be held from a request's look-up until it is in the core's mailbox.
    pub fn pass(&self) -> Pass<'_> {
        self.on_their_way.set(self.on_their_way.get() + 1);
        Pass(self)
    }

    /// Puts changes in force and waits until the core has them; one call at a time.
    ///
    /// # Errors
    /// If they could not be put in force; nothing of them is, then.
    pub async fn put_in_force(
        &self,
        changes: Vec<Change>,
        core: &Sender<DispatcherMessage>,
        wheel: &Rc<TimerWheel>,
    ) -> Result<Taken, PutError> {
        let small = changes.len() <= IN_PLACE && self.in_force.borrow().has_room(changes.len());
        let prepared = if small { Prepared::InPlace(changes) } else { self.prepare(changes).await? };
        self.change_waits.set(!self.can_swap(core));
        while !self.can_swap(core) {
            wheel.sleep(RETRY_MS).await;
        }
        let taken = self.swap(prepared, core);
        self.change_waits.set(false);
        taken?.recv().await.map_err(|_| PutError::CoreGone)?;
        let mut in_force = self.in_force.borrow_mut();
        Arc::make_mut(&mut in_force).settle();
        let (tenants, routes) = in_force.counts();
        Ok(Taken { tenants, routes })
    }

    fn can_swap(&self, core: &Sender<DispatcherMessage>) -> bool {
        self.on_their_way.get() == 0 && !core.is_full()
    }

    /// Applies changes to a copy on a thread of its own, or leaves them to be applied in place if there can be none.
    async fn prepare(&self, changes: Vec<Change>) -> Result<Prepared, PutError> {
        let (job, jobs) = async_channel::bounded(1);
        let (ready, copies) = async_channel::bounded(1);
        let (old, olds) = async_channel::bounded(1);
        let work = move || {
            if let Ok((in_force, changes)) = jobs.recv_blocking() {
                let _ = ready.send_blocking(applied_copy(in_force, changes));
            }
            // Large tables take a while to free; that is not for the serving thread either.
            drop(olds.recv_blocking());
        };
        if std::thread::Builder::new().name("config-copy".to_owned()).spawn(work).is_err() {
            return Ok(Prepared::InPlace(changes));
        }
        // The thread waits for its job, and then has nothing else to do than to answer.
        let _ = job.try_send((self.in_force.borrow().clone(), changes));
        let (next, reconfiguration) = copies.recv().await.map_err(|_| PutError::NotPrepared)?;
        Ok(Prepared::Copy { next, reconfiguration, old })
    }

    /// The one step: nothing else runs on this thread meanwhile.
    fn swap(&self, prepared: Prepared, core: &Sender<DispatcherMessage>) -> Result<Receiver<()>, PutError> {
        let mut in_force = self.in_force.borrow_mut();
        let changes = match prepared {
            Prepared::InPlace(changes) => Arc::make_mut(&mut in_force).apply(&changes),
            Prepared::Copy { next, reconfiguration, old } => {
                let _ = old.try_send(std::mem::replace(&mut *in_force, next));
                reconfiguration
            }
        };
        let (done, taken) = async_channel::bounded(1);
        let message = DispatcherMessage::Reconfigured(Box::new(Reconfigured { changes, done }));
        core.try_send(message).map_err(|_| PutError::CoreGone)?;
        Ok(taken)
    }
}

/// Changes on their way in.
enum Prepared {
    /// To be applied on the serving thread.
    InPlace(Vec<Change>),
    /// Applied to a copy already.
    Copy {
        next: Arc<InForce>,
        reconfiguration: Reconfiguration,
        /// Takes the state that the copy replaces, to be freed.
        old: Sender<Arc<InForce>>,
    },
}

fn applied_copy(in_force: Arc<InForce>, changes: Vec<Change>) -> (Arc<InForce>, Reconfiguration) {
    let mut next = (*in_force).clone();
    drop(in_force);
    next.reserve(changes.len());
    let reconfiguration = next.apply(&changes);
    (Arc::new(next), reconfiguration)
}
