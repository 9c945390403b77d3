//! The order in which the event loop works: sockets and timers, a bounded share of reads, a bounded share of everything else.

use super::read_turns::ReadTurns;
use async_executor::LocalExecutor;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use std::future::Future;

/// Turns of tasks in a pass, beside those of the connections that read.
const TURNS_IN_PASS: usize = 32;
/// Connections that have a turn to read in a pass.
const READS_IN_PASS: usize = 256;

/// Runs the tasks of the executor until the future completes, and returns its result.
///
/// It works in passes, each of which begins with a look at sockets and timers. In a pass every connection with bytes to
/// read has one turn, so that what is due and what the worker pool reports waits for one turn of each, and what comes is
/// read before it is too late to refuse it. The future has a turn in each pass.
pub async fn run<T>(
    executor: &LocalExecutor<'_>,
    read_turns: &ReadTurns,
    future: impl Future<Output = T>,
) -> T {
    future.or(run_tasks(executor, read_turns)).await
}

async fn run_tasks<T>(executor: &LocalExecutor<'_>, read_turns: &ReadTurns) -> T {
    loop {
        let turns = TURNS_IN_PASS + read_turns.grant(READS_IN_PASS);
        let is_idle = (0..turns).any(|_| !executor.try_tick());
        if is_idle && read_turns.is_empty() {
            executor.tick().await;
        } else {
            yield_now().await;
        }
    }
}
