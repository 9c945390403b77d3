//! Scheduling of the event loop: each pass polls sockets and timers, then runs a bounded number of reads and
//! of other task turns.

use super::read_turns::ReadTurns;
use async_executor::LocalExecutor;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use std::future::Future;

/// Number of task turns in a pass, in addition to the turns of the connections that read.
const TASK_TURNS_PER_PASS: usize = 32;
/// Largest number of connections that get a turn to read in a pass.
const READ_TURNS_PER_PASS: usize = 256;

/// Runs the tasks of the executor until the future completes, and returns its result.
///
/// The loop works in passes, each of which begins by polling sockets and timers. In a pass, each connection
/// with bytes to read gets one turn. Due timers and reports of the worker pool therefore wait for at most one
/// turn of each connection, and incoming requests are read while there is still time to reject them. The
/// future is polled once in each pass.
pub async fn run<T>(
    executor: &LocalExecutor<'_>,
    read_turns: &ReadTurns,
    future: impl Future<Output = T>,
) -> T {
    future.or(run_tasks(executor, read_turns)).await
}

async fn run_tasks<T>(executor: &LocalExecutor<'_>, read_turns: &ReadTurns) -> T {
    loop {
        let turns = TASK_TURNS_PER_PASS + read_turns.grant(READ_TURNS_PER_PASS);
        let is_idle = (0..turns).any(|_| !executor.try_tick());
        if is_idle && read_turns.is_empty() {
            executor.tick().await;
        } else {
            yield_now().await;
        }
    }
}
