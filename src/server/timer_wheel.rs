//! The clock of the process, and the timer wheel on which all its timers lie.

use super::event_loop_lag::EventLoopLag;
use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Slots of the wheel. Timers further away than a turn share a slot with nearer ones.
const SLOTS: u64 = 512;
/// The shortest and the longest tick, ms.
const MIN_TICK_MS: f64 = 1.0;
const MAX_TICK_MS: f64 = 20.0;
/// The longest sleep, ms.
const MAX_SLEEP_MS: f64 = 1e10;

/// Unix time in milliseconds.
///
/// # Invariants
/// It is the system's time at the start, carried on by the monotonic clock: it never jumps, and timestamps from
/// outside, ages and windows share one scale.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    unix_ms_at_start: f64,
}

impl Clock {
    /// Returns a clock that begins with the system's time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Instant::now(), unix_ms_at_start: unix.as_secs_f64() * 1000.0 }
    }

    /// Returns the time, Unix milliseconds.
    pub fn now(&self) -> f64 {
        self.unix_ms_at_start + self.started_at.elapsed().as_secs_f64() * 1000.0
    }
}

/// The waker of a sleep, shared by the sleep and the wheel; empty before the first poll and after the wake-up.
type WakerSlot = Rc<RefCell<Option<Waker>>>;

/// A sleep on the wheel.
struct Sleeper {
    tick: u64,
    waker: WakerSlot,
}

impl Sleeper {
    /// Returns whether the sleep was dropped, so that the wheel alone holds its waker.
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
/// Nothing wakes before its tick.
pub struct TimerWheel {
    clock: Clock,
    tick_ms: f64,
    started_at: f64,
    /// Ticks that have passed.
    ticks: Cell<u64>,
    /// How late the ticks came.
    lag: Cell<EventLoopLag>,
    slots: RefCell<Vec<Vec<Sleeper>>>,
}

impl TimerWheel {
    /// Returns a wheel with ticks of `tick_ms`, 1 to 20 ms. Nothing wakes unless [`TimerWheel::advance`] runs.
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

    /// Returns a future that completes at the tick nearest to `delay_ms` from now, the next one at the earliest.
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

    /// Advances the wheel with the clock; it never returns.
    pub async fn advance(self: Rc<Self>) {
        loop {
            let next_tick_at = self.next_tick_at();
            let wait_ms = (next_tick_at - self.clock.now()).max(0.0);
            Timer::after(Duration::from_secs_f64(wait_ms / 1000.0)).await;
            let now = self.clock.now();
            self.observe_lag(now, now - next_tick_at);
            let due = ((now - self.started_at) / self.tick_ms) as u64;
            while self.ticks.get() < due {
                self.advance_one_tick();
            }
        }
    }

    /// Returns by how much a tick came late lately, at most, ms. A tick that is due and has not come counts too.
    pub fn greatest_lag_ms(&self) -> f64 {
        let now = self.clock.now();
        self.lag.get().greatest_ms(now).max(now - self.next_tick_at())
    }

    fn next_tick_at(&self) -> f64 {
        self.started_at + (self.ticks.get() + 1) as f64 * self.tick_ms
    }

    fn observe_lag(&self, now: f64, late_ms: f64) {
        let mut lag = self.lag.get();
        lag.observe(now, late_ms);
        self.lag.set(lag);
    }

    /// Wakes what is due at the next tick, and removes abandoned sleeps from its slot.
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

/// Returns the slot of a tick.
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
