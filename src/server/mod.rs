//! The server around the admission controller: one thread, a task with a mailbox for each peer, for the listener and
//! for the dispatcher. The dispatcher alone owns what becomes of a request; the other tasks carry bytes and decide
//! nothing about one.

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
