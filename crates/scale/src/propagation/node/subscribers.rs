//! The process of a zone's client-only subscribers. Each runs the real client code, without a daemon around
//! it; all share one table.

use super::coordinator_link::{Commands, emit};
use super::file_log::file_logger;
use super::zone_observer::ZoneObserver;
use crate::propagation::changes::refusing_zone;
use crate::propagation::control::{Command, Event, SubscribersSetup, Traffic};
use crate::propagation::dataset::{REFUSED_FROM, base_transactions};
use crate::propagation::process::{UsageMeter, allow_connections, resident_kb};
use crate::propagation::record::ObservationWriter;
use crate::propagation::servers::servers;
use crate::propagation::topology::{region_name, subscriber_name, zone_name};
use anyhow::{Context, Result, bail, ensure};
use async_executor::Executor;
use dunlinspread_config_sync::client::{ClientSettings, Judge, Rejection, Server};
use dunlinspread_config_sync::message::{Member, Role};
use dunlinspread_config_sync::net::{SharedTables, SubscriberHandle, SubscriberTask};
use dunlinspread_config_sync::resource::{Change, Position, Resource};
use dunlinspread_config_sync::state_store::StateStore;
use dunlinspread_config_sync::subscriber::PersistedState;
use dunlinspread_config_sync::table::Table;
use dunlinspread_store::RealDisk;
use futures_lite::future;
use slog::Logger;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Indexes of the subscribers that reach the relays of their region through the proxy, which damages frames.
const EXPOSED_INDICES: std::ops::Range<usize> = 0..2;
/// Index of the subscriber that keeps its state on disk and has no state at the first start.
const PERSISTENT_INDEX: usize = 2;
/// Index of another subscriber that has no state at the first start.
const INITIALLY_EMPTY_INDEX: usize = 3;
/// Maximum time for subscribers to connect at the start.
const CONNECT_LIMIT: Duration = Duration::from_secs(120);
/// Interval between checks of the subscribers' connections.
const CONNECT_POLL: Duration = Duration::from_millis(20);

pub fn run(setup: &SubscribersSetup, commands: Commands) -> Result<()> {
    let zone = Zone::new(setup)?;
    let kept_state = zone.kept_state()?;
    let executor = Arc::new(Executor::new());
    let runner = executor.clone();
    thread::spawn(move || async_io::block_on(runner.run(future::pending::<()>())));

    let (resumed, others): (Vec<usize>, Vec<usize>) =
        (0..zone.subscribers()).partition(|&index| kept_state.is_some() && zone.resumes_kept_state(index));
    let before_kb = resident_kb();
    let mut handles = zone.start(&resumed, kept_state.as_ref(), &executor)?;
    if setup.incarnation == 0 {
        wait_connected(&handles)?;
    }
    let start_growth_kb = resident_kb().saturating_sub(before_kb);
    handles.extend(zone.start(&others, None, &executor)?);
    drop(kept_state);

    let mut usage = UsageMeter::start(start_growth_kb);
    emit(&Event::Ready { head: least_in_force(&handles).into() });
    for command in commands {
        match command? {
            Command::Status => emit(&Event::Status { least: least_in_force(&handles).into() }),
            Command::BeginMeasuring => usage.begin(traffic(&handles)),
            Command::Usage => emit(&Event::Usage(usage.read(traffic(&handles)))),
            Command::Verify => emit(&Event::Verified { tables: zone.observer.verified_tables() }),
            other => bail!("not a command for subscribers: {other:?}"),
        }
    }
    Ok(())
}

/// Starts the subscribers of a zone.
struct Zone<'run> {
    setup: &'run SubscribersSetup,
    servers: Vec<Server>,
    exposed_servers: Vec<Server>,
    observer: ZoneObserver,
    tables: SharedTables,
    log: Logger,
}

impl<'run> Zone<'run> {
    fn new(setup: &'run SubscribersSetup) -> Result<Zone<'run>> {
        let topology = &setup.run.topology;
        let subscribers = topology.zone_subscribers[setup.zone];
        allow_connections(subscribers)?;
        let writer = ObservationWriter::create(&setup.observations)?;
        Ok(Zone {
            setup,
            servers: servers(&setup.servers),
            exposed_servers: servers(&setup.exposed_servers),
            observer: ZoneObserver::new(writer, topology.first_subscriber(setup.zone), subscribers),
            tables: SharedTables::default(),
            log: file_logger(&setup.log)?,
        })
    }

    fn subscribers(&self) -> usize {
        self.setup.run.topology.zone_subscribers[self.setup.zone]
    }

    /// Returns the last good state of the subscribers that have one: the initial table at the first start,
    /// later the state that the persistent subscriber has on disk. Returns none if that subscriber had not
    /// stored a state.
    fn kept_state(&self) -> Result<Option<PersistedState>> {
        if self.setup.incarnation > 0 {
            return self.state_on_disk().context("reading the state on disk");
        }
        let mut mirror = Table::new();
        for changes in base_transactions(self.setup.run.shape(), self.setup.run.seed) {
            mirror.apply(&changes);
        }
        let position: Position = self.setup.base.into();
        Ok(Some(PersistedState { position, mirror, ..PersistedState::default() }))
    }

    /// Reads the state of the persistent subscriber. The store is closed again before the subscriber opens
    /// it.
    fn state_on_disk(&self) -> Result<Option<PersistedState>> {
        let disk = Arc::new(RealDisk::new(&self.setup.state)?);
        let (store, state) = StateStore::open(disk, &subscriber_name(self.number(PERSISTENT_INDEX)))?;
        store.close()?;
        Ok(state)
    }

    /// Returns the number of a subscriber over all zones.
    fn number(&self, index: usize) -> usize {
        self.setup.run.topology.first_subscriber(self.setup.zone) + index
    }

    /// Returns whether a subscriber resumes from the shared kept state. The persistent subscriber reads its
    /// own state from disk.
    fn resumes_kept_state(&self, index: usize) -> bool {
        let starts_empty = self.setup.incarnation == 0 && index == INITIALLY_EMPTY_INDEX;
        index != PERSISTENT_INDEX && !starts_empty
    }

    fn start(
        &self,
        indices: &[usize],
        kept_state: Option<&PersistedState>,
        executor: &Executor<'static>,
    ) -> Result<Vec<SubscriberHandle>> {
        indices.iter().map(|&index| self.start_subscriber(index, kept_state, executor)).collect()
    }

    fn start_subscriber(
        &self,
        index: usize,
        kept_state: Option<&PersistedState>,
        executor: &Executor<'static>,
    ) -> Result<SubscriberHandle> {
        let number = self.number(index);
        let settings = self.client_settings(index, number);
        let (judge, observer) = (self.judge(), self.observer.observer(index));
        let tables = Some(self.tables.clone());
        let (task, handle) = match kept_state {
            None => SubscriberTask::new(settings, judge, observer, tables, self.log.clone()),
            Some(kept_state) => {
                let mut in_force = kept_state.mirror.clone();
                in_force.apply(&kept_state.held_back);
                self.observer.begin(index, kept_state.position, in_force);
                SubscriberTask::resume(
                    settings,
                    judge,
                    observer,
                    tables,
                    self.log.clone(),
                    kept_state.clone(),
                )
            }
        }
        .with_context(|| subscriber_name(number))?;
        executor.spawn(task.run()).detach();
        Ok(handle)
    }

    fn client_settings(&self, index: usize, number: usize) -> ClientSettings {
        let setup = self.setup;
        let servers = if EXPOSED_INDICES.contains(&index) { &self.exposed_servers } else { &self.servers };
        ClientSettings {
            member: Member {
                name: subscriber_name(number).into(),
                zone: zone_name(setup.zone).into(),
                region: region_name(setup.run.topology.region_of(setup.zone)).into(),
                role: Role::Subscriber,
            },
            servers: servers.clone(),
            fleet_key: setup.run.fleet_key.clone().into_bytes(),
            state_directory: (index == PERSISTENT_INDEX).then(|| setup.state.clone()),
            seed: setup.run.seed ^ (number as u64) << 16 ^ u64::from(setup.incarnation) << 48,
        }
    }

    fn judge(&self) -> Box<dyn Judge> {
        let refuses = self.setup.zone == refusing_zone(self.setup.run.shape(), self.setup.run.seed);
        Box::new(LimitJudge { refuses })
    }
}

/// Refuses, in the refusing zone, class limits above what its servers can run.
struct LimitJudge {
    refuses: bool,
}

impl Judge for LimitJudge {
    fn judge(&self, changes: &[Change]) -> Result<(), Rejection> {
        let too_high = |change: &&Change| matches!(change, Change::Put(Resource::ClassLimit { max_running, .. }) if *max_running >= REFUSED_FROM);
        match changes.iter().filter(|_| self.refuses).find(too_high) {
            Some(change) => {
                Err(Rejection::new(format!("{}: more than this server can run", change.key().name())))
            }
            None => Ok(()),
        }
    }
}

fn least_in_force(handles: &[SubscriberHandle]) -> Position {
    handles.iter().map(|handle| handle.status().in_force).min().unwrap_or_default()
}

/// Waits until all subscribers are connected, so that the memory of the connections is counted.
fn wait_connected(handles: &[SubscriberHandle]) -> Result<()> {
    let deadline = Instant::now() + CONNECT_LIMIT;
    while handles.iter().any(|handle| handle.status().connections == 0) {
        ensure!(Instant::now() < deadline, "subscribers not connected within {} s", CONNECT_LIMIT.as_secs());
        thread::sleep(CONNECT_POLL);
    }
    Ok(())
}

fn traffic(handles: &[SubscriberHandle]) -> Traffic {
    let mut traffic = Traffic::default();
    for status in handles.iter().map(SubscriberHandle::status) {
        traffic.bytes_in += status.bytes_in;
        traffic.bytes_out += status.bytes_out;
        traffic.frames += status.frames;
        traffic.snapshots += status.snapshots;
        traffic.bad_frames += status.bad_frames;
    }
    traffic
}
