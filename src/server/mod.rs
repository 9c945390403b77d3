//! The server around the admission controller. It runs on one thread, with a task and a mailbox each for
//! every peer, the listener and the dispatcher. Only the dispatcher decides how a request is handled; the
//! other tasks transfer bytes and make no such decisions.

pub mod control;
pub mod dispatcher;
pub mod distributed_config;
pub mod evacuation;
pub mod event_loop;
pub mod event_loop_lag;
pub mod fault_injection;
pub mod frontend;
pub mod handover;
pub mod messages;
pub mod name_table;
pub mod read_turns;
pub mod registry;
pub mod repeated_lines;
pub mod request_ids;
pub mod serving_status;
pub mod supervisor;
pub mod task_times;
pub mod telemetry;
pub mod timer_wheel;
pub mod upstream;
pub mod usage;
pub mod worker_pool;
