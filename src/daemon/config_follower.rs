//! Distributed configuration in the process: starts the subscriber's thread, applies its updates on the
//! serving thread, confirms them, and logs when the server loses or regains contact with the publisher.
//!
//! Serving does not wait for a relay: only the state on disk, if any, is applied before the first request.

use super::error::DaemonError;
use super::staleness::{StalenessChange, StalenessMonitor};
use crate::config::Config;
use crate::operator::{ConfigSyncSettings, RelaySettings};
use crate::server::distributed_config::{
    AppliedCounts, ApplyError, Capacity, ChangeValidator, DistributedSettings, EffectiveSettings,
    PlatformSettings,
};
use crate::server::messages::DispatcherSender;
use crate::server::name_table::NameTable;
use crate::server::timer_wheel::{Clock, TimerWheel};
use async_channel::{Receiver, TryRecvError};
use dunlinspread_config_sync::client::{Client, ClientSettings, Server, Update};
use dunlinspread_config_sync::message::{Member, Role};
use dunlinspread_config_sync::resource::Position;
use futures_lite::future::{or, pending};
use slog::{Logger, error, info, o, warn};
use std::hash::{BuildHasher, RandomState};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

/// Maximum number of updates queued for the serving thread; the subscriber merges further ones.
const MAX_WAITING_UPDATES: usize = 4;
/// Interval at which the age of the settings is checked, ms.
const AGE_CHECK_INTERVAL_MS: f64 = 1000.0;

/// Settings and handles with which a [`ConfigFollower`] is started.
pub(super) struct FollowerStart<'a> {
    /// The block `config_sync` of the operator file.
    pub(super) settings: &'a ConfigSyncSettings,
    /// The platform's configuration.
    pub(super) config: &'a Config,
    /// The platform's classes by name.
    pub(super) class_names: Arc<NameTable>,
    /// The platform's tenants by name.
    pub(super) tenants: Arc<NameTable>,
    /// Sender of the dispatcher's mailbox.
    pub(super) dispatcher: DispatcherSender,
    /// The timer wheel.
    pub(super) wheel: Rc<TimerWheel>,
    /// The clock.
    pub(super) clock: Clock,
    /// The logger.
    pub(super) log: &'a Logger,
}

/// Applies the publisher's updates until the process ends.
pub(super) struct ConfigFollower {
    client: Client,
    updates: Receiver<Update>,
    settings: Rc<DistributedSettings>,
    dispatcher: DispatcherSender,
    wheel: Rc<TimerWheel>,
    clock: Clock,
    log: Logger,
    staleness: StalenessMonitor,
    /// Position of the last applied update.
    position: Option<Position>,
}

impl FollowerStart<'_> {
    /// Starts the subscriber's thread and applies the state on disk, if any.
    ///
    /// # Errors
    /// - [`DaemonError::TooManyTenants`] if the platform lists more tenants than the operator file allows.
    /// - [`DaemonError::FleetKey`] if the fleet's key can't be read or has an invalid length.
    /// - [`DaemonError::Subscriber`] if the subscriber can't be started.
    /// - [`DaemonError::StoredSettings`] if the state on disk can't be applied.
    pub(super) async fn start(self) -> Result<ConfigFollower, DaemonError> {
        let log = self.log.new(o!("component" => "config_sync"));
        let (max, listed) = (self.settings.max_tenants, self.tenants.len());
        if listed > max {
            return Err(DaemonError::TooManyTenants { max, listed });
        }
        let platform = PlatformSettings {
            classes: self.class_names.clone(),
            tenants: self.tenants.clone(),
            quotas: self.config.settings.tenant_quotas.clone(),
        };
        let capacity = Capacity { max_tenants: max, max_routes: self.settings.max_routes };
        let validator = ChangeValidator::new(self.class_names, self.tenants, capacity, log.clone());
        let (update_sender, updates) = async_channel::bounded(MAX_WAITING_UPDATES);
        let client_settings = client_settings(self.settings, &self.config.name)?;
        let client = Client::start(client_settings, Box::new(validator), update_sender, self.log.clone())
            .map_err(DaemonError::Subscriber)?;
        let effective = EffectiveSettings::new(Arc::new(platform));
        let mut follower = ConfigFollower {
            client,
            updates,
            settings: Rc::new(DistributedSettings::new(effective)),
            dispatcher: self.dispatcher,
            wheel: self.wheel,
            staleness: StalenessMonitor::new(self.clock.now()),
            clock: self.clock,
            log,
            position: None,
        };
        follower.apply_stored_state().await?;
        Ok(follower)
    }
}

enum FollowerEvent {
    Update(Update),
    AgeCheckDue,
    SubscriberEnded,
}

impl ConfigFollower {
    /// Returns the distributed settings, which the follower keeps up to date.
    pub(super) fn settings(&self) -> Rc<DistributedSettings> {
        self.settings.clone()
    }

    async fn apply_stored_state(&mut self) -> Result<(), DaemonError> {
        match self.updates.try_recv() {
            Ok(update) => self.apply(update).await.map_err(DaemonError::StoredSettings),
            Err(TryRecvError::Empty | TryRecvError::Closed) => {
                info!(self.log, "no distributed settings yet");
                Ok(())
            }
        }
    }

    /// Applies each update and checks the age of the settings periodically.
    pub(super) async fn run(mut self) {
        loop {
            let failure = match self.next_event().await {
                FollowerEvent::Update(update) => self.apply(update).await.err().map(|e| e.to_string()),
                FollowerEvent::AgeCheckDue => None,
                FollowerEvent::SubscriberEnded => Some("the subscriber has ended".to_owned()),
            };
            if let Some(error) = failure {
                // Serving continues. Later updates can't be applied, because they build on the missing one.
                error!(self.log, "distributed settings stay as they are until a restart"; "error" => error);
                return pending().await;
            }
            self.check_age();
        }
    }

    async fn next_event(&self) -> FollowerEvent {
        let update = async {
            match self.updates.recv().await {
                Ok(update) => FollowerEvent::Update(update),
                Err(_) => FollowerEvent::SubscriberEnded,
            }
        };
        let age_check_due = async {
            self.wheel.sleep(AGE_CHECK_INTERVAL_MS).await;
            FollowerEvent::AgeCheckDue
        };
        or(update, age_check_due).await
    }

    async fn apply(&mut self, update: Update) -> Result<(), ApplyError> {
        let position = update.position;
        let counts = self.settings.apply(update.changes, &self.dispatcher, &self.wheel).await?;
        self.client.applied(position);
        if self.position.replace(position).is_none() {
            self.log_first_update(counts, position);
        }
        Ok(())
    }

    fn log_first_update(&self, counts: AppliedCounts, position: Position) {
        info!(self.log, "distributed settings in force"; "tenants" => counts.tenants,
            "routes" => counts.routes, "epoch" => position.epoch, "revision" => position.revision);
    }

    fn check_age(&mut self) {
        let age_ms = self.client.age_ms().map(|age| age as f64);
        let Some(change) = self.staleness.advance(self.clock.now(), age_ms) else { return };
        let (epoch, revision) = self.position.map_or((0, 0), |p| (p.epoch, p.revision));
        match change {
            StalenessChange::BecameStale { age_ms } => {
                warn!(self.log, "distributed settings stale, keeping those in force";
                    "age_ms" => age_ms.round(), "epoch" => epoch, "revision" => revision);
            }
            StalenessChange::BecameCurrent { after_ms } => {
                info!(self.log, "distributed settings up to date"; "after_ms" => after_ms.round(),
                    "epoch" => epoch, "revision" => revision);
            }
        }
    }
}

fn client_settings(settings: &ConfigSyncSettings, server_name: &str) -> Result<ClientSettings, DaemonError> {
    Ok(ClientSettings {
        member: Member {
            name: server_name.into(),
            zone: settings.zone.as_str().into(),
            region: settings.region.as_str().into(),
            role: Role::Subscriber,
        },
        servers: settings.relays.iter().map(relay_server).collect(),
        fleet_key: settings.fleet_key()?,
        state_directory: settings.state_directory.as_ref().map(PathBuf::from),
        // The seed gives each server different jitter; it does not have to be reproducible.
        seed: RandomState::new().hash_one(server_name),
    })
}

fn relay_server(relay: &RelaySettings) -> Server {
    Server {
        name: relay.name.as_str().into(),
        address: relay.address,
        zone: relay.zone.as_deref().map(Arc::from),
        region: relay.region.as_str().into(),
    }
}
