//! The order in which the event loop works: first everything that follows from what was read, then one further read.

use super::read_turns::ReadTurns;
use async_executor::LocalExecutor;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use std::future::Future;

/// Turns of tasks between two looks at sockets and timers.
const TURNS_BETWEEN_LOOKS: usize = 200;
/// Connections that have a turn to read between two looks at sockets and timers.
const READS_BETWEEN_LOOKS: usize = 8;

/// Runs the tasks of the executor until the future completes, and returns its result.
///
/// Some connections have their turn to read once no task is ready, and all that follows from what they read comes before
/// the next ones. Sockets and timers are looked at in between: what the worker pool reports and what is due waits for no
/// more than these reads.
pub async fn run<T>(
    executor: &LocalExecutor<'_>,
    read_turns: &ReadTurns,
    future: impl Future<Output = T>,
) -> T {
    future.or(run_tasks(executor, read_turns)).await
}

async fn run_tasks<T>(executor: &LocalExecutor<'_>, read_turns: &ReadTurns) -> T {
    loop {
        let mut has_read = false;
        for _ in 0..TURNS_BETWEEN_LOOKS {
            if executor.try_tick() {
                continue;
            }
            if read_turns.is_empty() {
                executor.tick().await;
            } else if has_read {
                break;
            } else {
                read_turns.grant(READS_BETWEEN_LOOKS);
                has_read = true;
            }
        }
        yield_now().await;
    }
}
