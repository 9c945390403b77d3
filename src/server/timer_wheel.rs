//! Time: the one clock, and the one wheel on which every timer of the program lies. The clock must never jump: it
//! is Unix time at the start, carried on by the monotonic clock, so that stamps from outside, ages and windows
//! agree. The wheel must never wake anything before its tick.

use async_io::Timer;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const SLOTS: u64 = 512;

/// Unix time in milliseconds that only goes forward.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_ms: f64,
}

impl Clock {
    /// A clock that goes from the system's time now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_ms: unix.as_secs_f64() * 1000.0 }
    }

    /// Unix milliseconds.
    pub fn now(&self) -> f64 {
        self.unix_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }
}

/// A sleeper's waker, while it sleeps.
type Bed = Rc<RefCell<Option<Waker>>>;

/// Coarse timers.
pub struct TimerWheel {
    clock: Clock,
    tick_ms: f64,
    from: f64,
    turned: Cell<u64>,
    slots: RefCell<Vec<Vec<(u64, Bed)>>>,
}

impl TimerWheel {
    /// A wheel of ticks about so long. Nothing wakes unless [`TimerWheel::advance`] runs.
    pub fn new(clock: Clock, tick_ms: f64) -> Rc<Self> {
        let slots = RefCell::new((0..SLOTS).map(|_| Vec::new()).collect());
        let tick_ms = tick_ms.clamp(1.0, 20.0);
        Rc::new(TimerWheel { clock, tick_ms, from: clock.now(), turned: Cell::new(0), slots })
    }

    /// Wakes at the tick nearest to that time from now, the next one at the earliest.
    pub fn sleep(self: &Rc<Self>, ms: f64) -> Sleep {
        let at = (self.clock.now() - self.from + ms.clamp(0.0, 1e10)) / self.tick_ms;
        let tick = (at.round() as u64).max(self.turned.get() + 1);
        let bed = Bed::default();
        self.slots.borrow_mut()[(tick % SLOTS) as usize].push((tick, bed.clone()));
        Sleep { wheel: self.clone(), tick, bed }
    }

    /// Turns the wheel, for ever.
    pub async fn advance(self: Rc<Self>) {
        loop {
            let next = self.from + (self.turned.get() + 1) as f64 * self.tick_ms;
            let wait = (next - self.clock.now()).max(0.0);
            Timer::after(Duration::from_secs_f64(wait / 1000.0)).await;
            let due = ((self.clock.now() - self.from) / self.tick_ms) as u64;
            while self.turned.get() < due {
                let tick = self.turned.get() + 1;
                self.turned.set(tick);
                self.slots.borrow_mut()[(tick % SLOTS) as usize].retain(|(at, bed)| {
                    if *at <= tick {
                        bed.borrow_mut().take().into_iter().for_each(Waker::wake);
                    }
                    // A bed that only the wheel still holds belongs to a sleeper that was dropped.
                    *at > tick && Rc::strong_count(bed) > 1
                });
            }
        }
    }
}

/// Sleeps until a tick of the wheel.
pub struct Sleep {
    wheel: Rc<TimerWheel>,
    tick: u64,
    bed: Bed,
}

impl Future for Sleep {
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if self.wheel.turned.get() >= self.tick {
            return Poll::Ready(());
        }
        *self.bed.borrow_mut() = Some(cx.waker().clone());
        Poll::Pending
    }
}
