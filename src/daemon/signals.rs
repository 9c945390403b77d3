//! Signals of the process, with the times at which they were received.

use super::error::DaemonError;
use crate::server::fault_injection::{self, PanicPoint};
use async_channel::{Receiver, Sender};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use futures_lite::future::block_on;
use slog::{Logger, warn};
use std::time::Instant;

/// Name of the thread that receives signals.
const THREAD_NAME: &str = "signals";

/// A signal that the process handles.
#[derive(Clone, Copy, Debug)]
pub(super) enum ProcessSignal {
    /// Request to reload the configuration.
    Reload,
    /// Request to shut down.
    Shutdown {
        /// Time at which the signal was received.
        received_at: Instant,
    },
}

/// Queue of received signals, in order of receipt.
///
/// A separate thread receives the signals, so that the time of receipt is known even if the event loop lags:
/// the time until the kill counts from the signal.
pub(super) struct ProcessSignals {
    received: Receiver<ProcessSignal>,
}

impl ProcessSignals {
    /// Starts handling SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    /// Returns [`DaemonError::Signals`] if the handlers or the thread can't be set up.
    pub(super) fn new(log: Logger) -> Result<ProcessSignals, DaemonError> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(DaemonError::Signals)?;
        // Unbounded, so that receiving never waits for the event loop. The system merges signals that arrive
        // faster than they are received.
        let (sender, received) = async_channel::unbounded();
        std::thread::Builder::new()
            .name(THREAD_NAME.to_owned())
            .spawn(move || block_on(receive(signals, &sender, &log)))
            .map_err(DaemonError::Signals)?;
        Ok(ProcessSignals { received })
    }

    /// Waits for the next signal and returns it; `None` once the thread has ended.
    pub(super) async fn next(&mut self) -> Option<ProcessSignal> {
        self.received.recv().await.ok()
    }
}

/// Receives signals and sends them to `sender` until its receiver is dropped.
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
