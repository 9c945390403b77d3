//! The process of the proxy of a region.

use super::coordinator_link::{Commands, emit};
use crate::propagation::control::{Command, Event, ProxySetup};
use crate::propagation::fault_proxy::FaultProxy;
use crate::propagation::process::allow_connections;
use anyhow::{Context, Result, bail};
use async_executor::Executor;
use futures_lite::future;
use std::sync::Arc;
use std::thread;

/// Number of descriptors for forwarded connections, two for each connection.
const DESCRIPTORS: usize = 9_000;

pub fn run(setup: &ProxySetup, commands: Commands) -> Result<()> {
    allow_connections(DESCRIPTORS)?;
    let executor = Arc::new(Executor::new());
    let proxy = FaultProxy::start(setup.region, setup.link_regions.clone(), &executor)
        .context("listening for the links of a region")?;
    thread::spawn(move || async_io::block_on(executor.run(future::pending::<()>())));
    emit(&Event::Listening(proxy.addresses().to_vec()));
    for command in commands {
        match command? {
            Command::Targets(targets) => proxy.set_targets(targets),
            Command::Cut { region, kind } => proxy.cut(region, kind),
            Command::Heal { region } => proxy.heal(region),
            Command::Damage { scope } => proxy.damage(scope),
            other => bail!("not a command for a proxy: {other:?}"),
        }
    }
    Ok(())
}
