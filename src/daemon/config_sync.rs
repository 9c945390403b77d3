//! DistributedSettings configuration in the process: starts the subscriber's thread, puts its updates in force on the serving
//! thread, confirms them, and says in the log when it is cut off and when it is healed. Serving never waits for a relay:
//! only the state on disk, if there is one, is in force before the first request.

use crate::config::Config;
use crate::operator::{ConfigSyncSettings, RelaySettings};
use crate::server::distributed_config::{
    AppliedCounts, ApplyError, Capacity, ChangeValidator, DistributedSettings, EffectiveSettings,
    PlatformSettings,
};
use crate::server::messages::DispatcherMessage;
use crate::server::name_table::NameTable;
use crate::server::timer_wheel::{Clock, TimerWheel};
use async_channel::{Receiver, Sender, TryRecvError};
use dunlinspread_config_sync::client::{Client, ClientSettings, Server, Update};
use dunlinspread_config_sync::message::{Member, Role};
use futures_lite::future::or;
use slog::{Logger, error, info, warn};
use std::hash::{BuildHasher, RandomState};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

/// Updates that wait for the serving thread; the subscriber merges further ones.
const UPDATES: usize = 4;
/// How often it is looked how old the settings are, ms.
const LOOK_MS: f64 = 1000.0;
/// Settings at least this old, ms, are said in the log to be: several times what it takes to change to another relay.
const CUT_OFF_MS: f64 = 15_000.0;

/// All that the start needs.
pub struct ConfigSync<'a> {
    /// The operator's settings.
    pub settings: &'a ConfigSyncSettings,
    /// The platform's.
    pub config: &'a Config,
    /// The platform's classes by name.
    pub classes: Arc<NameTable>,
    /// The platform's tenants by name.
    pub tenants: Arc<NameTable>,
    /// The core's mailbox.
    pub core: Sender<DispatcherMessage>,
    /// Timers.
    pub wheel: Rc<TimerWheel>,
    /// The clock.
    pub clock: Clock,
    /// The log.
    pub log: Logger,
}

/// Follows the publisher until the program ends.
pub struct Following {
    client: Client,
    updates: Receiver<Update>,
    distributed: Rc<DistributedSettings>,
    core: Sender<DispatcherMessage>,
    wheel: Rc<TimerWheel>,
    clock: Clock,
    log: Logger,
    link: LinkWatch,
}

impl ConfigSync<'_> {
    /// Starts the subscriber's thread and puts the state on disk, if there is one, in force.
    pub async fn start(self) -> Result<(Rc<DistributedSettings>, Following), String> {
        let platform = PlatformSettings {
            classes: self.classes.clone(),
            tenants: self.tenants.clone(),
            quotas: self.config.settings.tenant_quotas.clone(),
        };
        let capacity =
            Capacity { max_tenants: self.settings.max_tenants, max_routes: self.settings.max_routes };
        if self.tenants.len() > capacity.max_tenants {
            let (listed, most) = (self.tenants.len(), capacity.max_tenants);
            return Err(format!("config_sync: `max_tenants`: {most}, and the platform lists {listed}"));
        }
        let judge = ChangeValidator::new(self.classes, self.tenants, capacity, self.log.clone());
        let (send_updates, updates) = async_channel::bounded(UPDATES);
        let settings = client_settings(self.settings, &self.config.name)?;
        let client = Client::start(settings, Box::new(judge), send_updates, self.log.clone());
        let mut following = Following {
            client: client.map_err(|e| format!("config_sync: {e}"))?,
            updates,
            distributed: Rc::new(DistributedSettings::new(EffectiveSettings::new(Arc::new(platform)))),
            core: self.core,
            wheel: self.wheel,
            link: LinkWatch::new(self.clock.now()),
            clock: self.clock,
            log: self.log,
        };
        match following.updates.try_recv() {
            Ok(update) => following.put_in_force(update).await.map_err(|e| format!("config_sync: {e}"))?,
            Err(TryRecvError::Empty | TryRecvError::Closed) => {
                info!(following.log, "config_sync: nothing distributed is in force yet");
            }
        }
        Ok((following.distributed.clone(), following))
    }
}

enum Next {
    Update(Update),
    Look,
    Ended,
}

impl Following {
    /// Puts each update in force, and looks now and then how old the settings are.
    pub async fn run(mut self) {
        loop {
            let updated = async { self.updates.recv().await.map_or(Next::Ended, Next::Update) };
            let looked = async {
                self.wheel.sleep(LOOK_MS).await;
                Next::Look
            };
            let ended = match or(updated, looked).await {
                Next::Update(update) => self.put_in_force(update).await.err().map(|e| e.to_string()),
                Next::Look => None,
                Next::Ended => Some("the subscriber ended".to_owned()),
            };
            if let Some(why) = ended {
                // Serving goes on; no later update can be applied over one that is missing.
                error!(self.log, "config_sync: the settings in force stay until a restart"; "why" => why);
                return futures_lite::future::pending().await;
            }
            self.look();
        }
    }

    async fn put_in_force(&mut self, update: Update) -> Result<(), ApplyError> {
        let position = update.position;
        let taken = self.distributed.apply(update.changes, &self.core, &self.wheel).await?;
        self.client.applied(position);
        self.say_first(&taken, position.epoch, position.revision);
        Ok(())
    }

    fn say_first(&mut self, taken: &AppliedCounts, epoch: u64, revision: u64) {
        let first = self.link.position.is_none();
        self.link.position = Some((epoch, revision));
        if first {
            info!(self.log, "config_sync: distributed settings are in force"; "tenants" => taken.tenants,
                "routes" => taken.routes, "epoch" => epoch, "revision" => revision);
        }
    }

    fn look(&mut self) {
        let now = self.clock.now();
        let age = self.client.age_ms().map(|age| age as f64);
        let Some(change) = self.link.look(now, age) else { return };
        let (epoch, revision) = self.link.position.unwrap_or_default();
        match change {
            LinkChange::CutOff { age_ms } => {
                warn!(self.log, "config_sync: cut off from the publisher, going on with the settings in force";
                    "age_ms" => age_ms.round(), "epoch" => epoch, "revision" => revision);
            }
            LinkChange::Healed { after_ms } => {
                info!(self.log, "config_sync: has all there is"; "after_ms" => after_ms.round(),
                    "epoch" => epoch, "revision" => revision);
            }
        }
    }
}

/// Whether the server is cut off from the publisher, for one log line at each change.
struct LinkWatch {
    since: f64,
    state: LinkState,
    position: Option<(u64, u64)>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum LinkState {
    /// It has not yet had all there is since the start.
    Starting,
    /// It had all there is a short while ago.
    Current,
    /// It has not had all there is for long.
    CutOff,
}

/// What became of the link.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LinkChange {
    /// The settings are this old.
    CutOff { age_ms: f64 },
    /// They are up to date, after so long.
    Healed { after_ms: f64 },
}

impl LinkWatch {
    fn new(now: f64) -> LinkWatch {
        LinkWatch { since: now, state: LinkState::Starting, position: None }
    }

    /// Time passes; `age_ms` is how long ago the subscriber had all there is.
    fn look(&mut self, now: f64, age_ms: Option<f64>) -> Option<LinkChange> {
        let old = age_ms.unwrap_or(now - self.since);
        let next = match age_ms {
            _ if old >= CUT_OFF_MS => LinkState::CutOff,
            Some(_) => LinkState::Current,
            None => LinkState::Starting,
        };
        if next == self.state {
            return None;
        }
        let after_ms = now - self.since;
        (self.state, self.since) = (next, now - if next == LinkState::CutOff { old } else { 0.0 });
        match next {
            LinkState::CutOff => Some(LinkChange::CutOff { age_ms: old }),
            LinkState::Current => Some(LinkChange::Healed { after_ms }),
            LinkState::Starting => None,
        }
    }
}

fn client_settings(settings: &ConfigSyncSettings, name: &str) -> Result<ClientSettings, String> {
    Ok(ClientSettings {
        member: Member {
            name: name.into(),
            zone: settings.zone.as_str().into(),
            region: settings.region.as_str().into(),
            role: Role::Subscriber,
        },
        servers: settings.relays.iter().map(server).collect(),
        fleet_key: settings.fleet_key().map_err(|error| error.to_string())?,
        state_directory: settings.state_directory.as_ref().map(PathBuf::from),
        // Jitter is there to set servers apart; nothing has to be repeatable.
        seed: RandomState::new().hash_one(name),
    })
}

fn server(relay: &RelaySettings) -> Server {
    Server {
        name: relay.name.as_str().into(),
        address: relay.address,
        zone: relay.zone.as_deref().map(Arc::from),
        region: relay.region.as_str().into(),
    }
}
