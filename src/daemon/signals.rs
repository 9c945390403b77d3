//! The signals of the process, with the times at which they came.

use super::error::DaemonError;
use crate::server::fault_injection::{self, PanicPoint};
use async_channel::{Receiver, Sender};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use futures_lite::future::block_on;
use slog::{Logger, warn};
use std::time::Instant;

/// The name of the thread that receives signals.
const THREAD_NAME: &str = "signals";

/// A signal that asks something of the process.
#[derive(Clone, Copy, Debug)]
pub(super) enum ProcessSignal {
    /// The configuration is to be read again.
    Reload,
    /// The process is to end.
    Shutdown {
        /// When the signal came.
        received_at: Instant,
    },
}

/// The signals, in the order in which they came.
///
/// A thread of its own receives them, so that the time of each is known even where the event loop lags: whoever requested
/// a shutdown counts its time from the signal.
pub(super) struct ProcessSignals {
    received: Receiver<ProcessSignal>,
}

impl ProcessSignals {
    /// Handles SIGTERM, SIGINT and SIGHUP from now on.
    ///
    /// # Errors
    /// If the system does not allow it.
    pub(super) fn new(log: Logger) -> Result<ProcessSignals, DaemonError> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(DaemonError::Signals)?;
        // Unbounded, so that no signal waits for the event loop; the system merges signals that come faster than they
        // are received.
        let (sender, received) = async_channel::unbounded();
        std::thread::Builder::new()
            .name(THREAD_NAME.to_owned())
            .spawn(move || block_on(receive(signals, &sender, &log)))
            .map_err(DaemonError::Signals)?;
        Ok(ProcessSignals { received })
    }

    /// Returns the next signal; `None` once the thread has ended.
    pub(super) async fn next(&mut self) -> Option<ProcessSignal> {
        self.received.recv().await.ok()
    }
}

/// Receives signals until nobody takes them.
async fn receive(mut signals: Signals, sender: &Sender<ProcessSignal>, log: &Logger) {
    while let Some(signal) = signals.next().await {
        let signal = match signal {
            Ok(Signal::Hup) => ProcessSignal::Reload,
            Ok(_) => ProcessSignal::Shutdown { received_at: Instant::now() },
            Err(error) => {
                warn!(log, "a signal can't be read"; "error" => error.to_string());
                continue;
            }
        };
        fault_injection::maybe_panic(PanicPoint::SignalReceived);
        if sender.send(signal).await.is_err() {
            return;
        }
    }
}
