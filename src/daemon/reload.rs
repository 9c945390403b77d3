//! Reloading of the configuration on SIGHUP.

use super::command_line::{ConfigFiles, LoadedConfig};
use super::wiring::PeerMailboxes;
use crate::config::Config;
use crate::server::messages::{RegistryMessage, UpstreamMessage, WorkerPoolMessage};
use slog::{Logger, info, warn};

/// Reloads the configuration and applies the settings that can change while the server runs: the addresses of
/// its peers.
pub(super) struct ConfigReloader {
    files: ConfigFiles,
    /// The configuration in force.
    in_force: LoadedConfig,
    mailboxes: PeerMailboxes,
    log: Logger,
}

impl ConfigReloader {
    /// Returns a reloader for these files; `in_force` is the configuration with which the server was started.
    pub(super) fn new(
        files: ConfigFiles,
        in_force: LoadedConfig,
        mailboxes: PeerMailboxes,
        log: Logger,
    ) -> ConfigReloader {
        ConfigReloader { files, in_force, mailboxes, log }
    }

    /// Returns the platform's configuration in force.
    pub(super) fn platform(&self) -> &Config {
        &self.in_force.platform
    }

    /// Reads the files and applies changed addresses. An invalid file changes nothing, and other changes take
    /// effect only with a restart.
    pub(super) fn reload(&mut self) {
        let loaded = match self.files.load() {
            Ok(loaded) => loaded,
            Err(error) => {
                return warn!(self.log, "configuration invalid, keeping the running one";
                    "error" => error.to_string());
            }
        };
        self.send_addresses(&loaded.platform);
        self.warn_restart_needed(&loaded);
        let platform = &mut self.in_force.platform;
        platform.worker_pool = loaded.platform.worker_pool;
        platform.registry = loaded.platform.registry;
        platform.upstream = platform.upstream.and(loaded.platform.upstream).or(platform.upstream);
        info!(self.log, "configuration reloaded"; "pool" => platform.worker_pool.to_string(),
            "directory" => platform.registry.to_string(),
            "index" => platform.upstream.map_or("none".to_owned(), |address| address.to_string()));
    }

    /// Sends changed addresses to the tasks. Sending can't fail, because the mailboxes are unbounded and
    /// close only when the process ends.
    fn send_addresses(&self, new: &Config) {
        let running = &self.in_force.platform;
        if new.worker_pool != running.worker_pool {
            let _ = self.mailboxes.worker_pool.try_send(WorkerPoolMessage::SetAddress(new.worker_pool));
        }
        if new.registry != running.registry {
            let _ = self.mailboxes.registry.try_send(RegistryMessage::SetAddress(new.registry));
        }
        if let (Some(upstream), Some(address)) = (&self.mailboxes.upstream, new.upstream) {
            if new.upstream != running.upstream {
                let _ = upstream.try_send(UpstreamMessage::SetAddress(address));
            }
        }
    }

    fn warn_restart_needed(&self, new: &LoadedConfig) {
        let running = &self.in_force.platform;
        if self.mailboxes.upstream.is_some() != new.platform.upstream.is_some() {
            warn!(self.log, "configuration not applied: adding or removing `index` requires a restart");
        }
        if (&new.platform.name, new.platform.listen) != (&running.name, running.listen) {
            warn!(self.log, "configuration not applied: changing `name` or `listen` requires a restart");
        }
        if new.operator != self.in_force.operator {
            warn!(self.log, "operator file not applied: it changes only with a restart");
        }
    }
}
