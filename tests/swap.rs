//! A change of the settings takes effect between two requests, whatever is queued in the dispatcher's
//! mailbox: no request is processed with a part of a change.

use async_executor::LocalExecutor;
use dunlinspread::server::distributed_config::{DistributedSettings, EffectiveSettings, PlatformSettings};
use dunlinspread::server::messages::{
    DispatcherInbox, DispatcherMessage, DispatcherSender, IncomingRequest, ReplyHandle, dispatcher_mailbox,
};
use dunlinspread::server::name_table::NameTable;
use dunlinspread::server::timer_wheel::{Clock, TimerWheel};
use dunlinspread_config_sync::resource::{Change, Resource};
use futures_lite::future::{block_on, yield_now};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

const CLASSES: usize = 7;
const FRONTENDS: u64 = 16;
const REQUESTS: u64 = 400;
const CHANGES: u64 = 120;
/// Capacity of the dispatcher's mailbox, far below the number of frontends, so that many of them wait to
/// send.
const MAILBOX: usize = 2;

fn platform() -> Arc<PlatformSettings> {
    let classes: Vec<String> = (0..CLASSES).map(|class| format!("c{class}")).collect();
    Arc::new(PlatformSettings {
        classes: Arc::new(NameTable::new(&classes)),
        tenants: Arc::new(NameTable::new(&["own".to_owned()])),
        quotas: vec![1.0],
    })
}

/// Returns a change that routes to the next class and sets the tenant's allowance to the change's number.
/// Every tenth change is large, with many additional tenants.
fn change(number: u64) -> Vec<Change> {
    let class = format!("c{}", number as usize % CLASSES);
    let allowance = |tenant: &str| {
        Change::Put(Resource::TenantAllowance { tenant: tenant.into(), milli_per_second: number * 1000 })
    };
    let mut changes = vec![
        allowance("t"),
        Change::Put(Resource::Route { route: "r".into(), class: class.as_str().into() }),
    ];
    let many = if number % 10 == 0 { 2000 } else { 0 };
    changes.extend((0..many).map(|at| allowance(&format!("{number}-{at}"))));
    changes
}

/// The state that the tasks under test share.
struct SharedState {
    distributed: Rc<DistributedSettings>,
    dispatcher: DispatcherSender,
    wheel: Rc<TimerWheel>,
    frontends_left: Rc<Cell<u64>>,
}

/// Looks up names and sends requests as a connection does, and yields at random.
async fn run_frontend(shared: Rc<SharedState>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (mailbox, _answers) = async_channel::bounded(1);
    for id in 0..REQUESTS {
        shared.distributed.wait_for_pending_change(&shared.wheel).await;
        let class = shared.distributed.route(b"r").expect("the route exists");
        let tenant = shared.distributed.tenant(Some("t")).expect("the tenant exists");
        let incoming = IncomingRequest {
            id,
            attempt: 0,
            class,
            received_at: 0.0,
            request_kb: 1.0,
            priority: 0.5,
            key: None,
            timeout_ms: None,
            tenant,
            account: None,
            shareable: false,
            body: Vec::new(),
            reply: ReplyHandle { mailbox: mailbox.clone(), tag: id, class: None, progress: None },
        };
        let guard = shared.distributed.guard_lookup();
        shared
            .dispatcher
            .send(DispatcherMessage::Request(Box::new(incoming)))
            .await
            .expect("the dispatcher runs");
        drop(guard);
        while random.random_bool(0.3) {
            yield_now().await;
        }
    }
    shared.frontends_left.set(shared.frontends_left.get() - 1);
}

/// Checks that each request has the class that belongs to the allowance in force; returns the numbers of
/// requests and changes.
async fn run_dispatcher(mut inbox: DispatcherInbox, seed: u64) -> (u64, u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (mut requests, mut changes) = (0, 0);
    let mut allowance = 0.0;
    while let Some(message) = inbox.next().await {
        match message {
            DispatcherMessage::Request(incoming) => {
                requests += 1;
                assert_eq!(
                    incoming.class,
                    allowance as usize % CLASSES,
                    "seed {seed}: a change was applied in part"
                );
                assert_eq!(incoming.tenant, 1, "seed {seed}");
            }
            DispatcherMessage::Reconfigured(reconfigured) => {
                changes += 1;
                let new = reconfigured.changes.quotas.iter().find(|change| change.tenant == 1);
                allowance = new.and_then(|change| change.per_second).expect("its allowance");
                reconfigured.done.try_send(()).expect("the sender of the change waits");
            }
            other => panic!("{other:?}"),
        }
        while random.random_bool(0.3) {
            yield_now().await;
        }
    }
    (requests, changes)
}

async fn put_change(shared: &SharedState, number: u64) {
    let put = shared.distributed.apply(change(number), &shared.dispatcher, &shared.wheel);
    put.await.expect("the change is applied");
}

fn interleave(seed: u64) {
    let executor = Rc::new(LocalExecutor::new());
    let (sender, inbox) = dispatcher_mailbox(MAILBOX);
    let wheel = TimerWheel::new(Clock::start(), 1.0);
    executor.spawn(wheel.clone().advance()).detach();
    let counted = executor.spawn(run_dispatcher(inbox, seed));
    let shared = Rc::new(SharedState {
        distributed: Rc::new(DistributedSettings::new(EffectiveSettings::new(platform()))),
        dispatcher: sender,
        wheel,
        frontends_left: Rc::new(Cell::new(FRONTENDS)),
    });
    let (requests, changes) = block_on(executor.run(async {
        put_change(&shared, 0).await;
        for at in 0..FRONTENDS {
            executor.spawn(run_frontend(shared.clone(), seed * 1000 + at)).detach();
        }
        for number in 1..CHANGES {
            put_change(&shared, number).await;
        }
        while shared.frontends_left.get() > 0 {
            yield_now().await;
        }
        drop(shared);
        counted.await
    }));
    assert_eq!((requests, changes), (FRONTENDS * REQUESTS, CHANGES), "seed {seed}");
}

#[test]
fn no_request_is_judged_by_half_a_change() {
    for seed in 1..=5 {
        interleave(seed);
    }
}
