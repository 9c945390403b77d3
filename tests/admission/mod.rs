//! Tests of the request table and of the parts of the admission controller that query it, through their
//! internal interfaces. The source files are included unchanged.
#![allow(dead_code, reason = "the files are included unchanged, and only a part of them is used")]

#[path = "../../src/admission/action.rs"]
mod action;
#[path = "../../src/admission/clamp.rs"]
mod clamp;
#[path = "../../src/admission/concurrency_limit.rs"]
mod concurrency_limit;
#[path = "../../src/admission/deadlines.rs"]
mod deadlines;
#[path = "../../src/admission/due_index.rs"]
mod due_index;
#[path = "../../src/admission/event.rs"]
mod event;
#[path = "../../src/admission/idempotency.rs"]
mod idempotency;
#[path = "../../src/admission/memory.rs"]
mod memory;
#[path = "../../src/admission/moving_average.rs"]
mod moving_average;
#[path = "../../src/admission/ready_queue.rs"]
mod ready_queue;
#[path = "../../src/admission/request.rs"]
mod request;
#[path = "../../src/admission/request_table.rs"]
mod request_table;
#[path = "../../src/admission/request_totals.rs"]
mod request_totals;
#[path = "../../src/admission/run_estimates.rs"]
mod run_estimates;
#[path = "../../src/admission/scheduling.rs"]
mod scheduling;
#[path = "../../src/admission/settings.rs"]
mod settings;
#[path = "../../src/admission/shutdown.rs"]
mod shutdown;
#[path = "../../src/admission/sort_key.rs"]
mod sort_key;
#[path = "../../src/admission/timing.rs"]
mod timing;

mod operations;
mod plain_table;
mod reservations;
mod table;
