//! The clock of the process, and the timer wheel that holds all its timers.

use super::event_loop_lag::EventLoopLag;
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Number of slots of the wheel. Timers more than one revolution away share a slot with nearer ones.
const SLOTS: u64 = 512;
/// Shortest tick, ms.
const MIN_TICK_MS: f64 = 1.0;
/// Longest tick, ms.
const MAX_TICK_MS: f64 = 20.0;
/// Longest sleep, ms.
const MAX_SLEEP_MS: f64 = 1e10;

/// Unix time in milliseconds.
///
/// # Invariants
/// The time is the system time at the start, advanced by the monotonic clock. It never jumps, and external
/// timestamps, ages and windows share one scale.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    unix_ms_at_start: f64,
}

impl Clock {
    /// Returns a clock that starts at the current system time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Instant::now(), unix_ms_at_start: unix.as_secs_f64() * 1000.0 }
    }

    /// Returns the current time, Unix milliseconds.
    pub fn now(&self) -> f64 {
        self.unix_ms_at_start + self.started_at.elapsed().as_secs_f64() * 1000.0
    }
}

/// Waker of a sleep, shared by the sleep and the wheel. It is empty before the first poll and after the
/// wake-up.
type WakerSlot = Rc<RefCell<Option<Waker>>>;

/// Entry of the wheel for a pending sleep.
struct Sleeper {
    tick: u64,
    waker: WakerSlot,
}

impl Sleeper {
    /// Returns whether the sleep was dropped, which leaves the wheel as the only owner of its waker.
    fn is_abandoned(&self) -> bool {
        Rc::strong_count(&self.waker) == 1
    }

    fn wake(&self) {
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// A hashed timer wheel with coarse ticks.
///
/// # Invariants
/// No sleep wakes before its tick.
pub struct TimerWheel {
    clock: Clock,
    tick_ms: f64,
    started_at: f64,
    /// Number of ticks that have passed.
    ticks: Cell<u64>,
    /// Delay of the ticks after their due times.
    lag: Cell<EventLoopLag>,
    slots: RefCell<Vec<Vec<Sleeper>>>,
}

impl TimerWheel {
    /// Returns a wheel with ticks of `tick_ms`, clamped to 1 to 20 ms. Sleeps complete only while
    /// [`TimerWheel::advance`] runs.
    pub fn new(clock: Clock, tick_ms: f64) -> Rc<Self> {
        Rc::new(TimerWheel {
            clock,
            tick_ms: tick_ms.clamp(MIN_TICK_MS, MAX_TICK_MS),
            started_at: clock.now(),
            ticks: Cell::new(0),
            lag: Cell::default(),
            slots: RefCell::new((0..SLOTS).map(|_| Vec::new()).collect()),
        })
    }

    /// Returns a future that completes at the tick nearest to `delay_ms` from now, but not before the next
    /// tick.
    pub fn sleep(self: &Rc<Self>, delay_ms: f64) -> Sleep {
        let elapsed_ms = self.clock.now() - self.started_at;
        let due_tick = (elapsed_ms + delay_ms.clamp(0.0, MAX_SLEEP_MS)) / self.tick_ms;
        let tick = (due_tick.round() as u64).max(self.ticks.get() + 1);
        let waker = WakerSlot::default();
        self.slots.borrow_mut()[slot(tick)].push(Sleeper { tick, waker: waker.clone() });
        Sleep { wheel: self.clone(), tick, waker }
    }

    /// Returns the clock that the wheel follows.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Advances the wheel with the clock. The future never completes.
    pub async fn advance(self: Rc<Self>) {
        loop {
            let next_tick_at = self.next_tick_at();
            let wait_ms = (next_tick_at - self.clock.now()).max(0.0);
            Timer::after(Duration::from_secs_f64(wait_ms / 1000.0)).await;
            let now = self.clock.now();
            self.observe_lag(now, now - next_tick_at);
            let due_ticks = ((now - self.started_at) / self.tick_ms) as u64;
            while self.ticks.get() < due_ticks {
                self.advance_one_tick();
            }
        }
    }

    /// Returns the greatest recent lag of a tick, ms. An overdue tick that has not run yet is included.
    pub fn greatest_lag_ms(&self) -> f64 {
        let now = self.clock.now();
        self.lag.get().greatest_ms(now).max(now - self.next_tick_at())
    }

    fn next_tick_at(&self) -> f64 {
        self.started_at + (self.ticks.get() + 1) as f64 * self.tick_ms
    }

    fn observe_lag(&self, now: f64, lag_ms: f64) {
        let mut lag = self.lag.get();
        lag.observe(now, lag_ms);
        self.lag.set(lag);
    }

    /// Advances by one tick: wakes the sleeps that are due and removes abandoned ones from the tick's slot.
    fn advance_one_tick(&self) {
        let tick = self.ticks.get() + 1;
        self.ticks.set(tick);
        self.slots.borrow_mut()[slot(tick)].retain(|sleeper| {
            let is_due = sleeper.tick <= tick;
            if is_due {
                sleeper.wake();
            }
            !is_due && !sleeper.is_abandoned()
        });
    }
}

/// Returns the index of the slot of a tick.
fn slot(tick: u64) -> usize {
    (tick % SLOTS) as usize
}

/// A future that completes at a tick of the wheel.
pub struct Sleep {
    wheel: Rc<TimerWheel>,
    tick: u64,
    waker: WakerSlot,
}

impl Future for Sleep {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.wheel.ticks.get() >= self.tick {
            return Poll::Ready(());
        }
        *self.waker.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }
}
