//! Settings of a round server, in the form that the platform gives them, with the figures of the site's pages.

pub const ROUNDS: &str = r#"{"tick_ms":5.0,"servers":10,"me":8,"tier":0,"tiers":["round-api","ledger"],"az":0,
"zones":["kakkanad","aluva","thrissur"],"accounts":[],"value_by":"request","over_share_worth":0.1,
"client_habits":{"marks_retry":false},"load_report":{"how":"on_probe","columns":["q","lat_ms"]},
"profiles":[
{"name":"route-sheet","effect":"pure","target_ms":2900.0,"give_up_ms":8700.0,"worth":1.0,"late_worth":0.0,"memory_span_ms":5000.0},
{"name":"rate-check","effect":"pure","target_ms":720.0,"give_up_ms":2200.0,"worth":2.0,"late_worth":0.2,"memory_span_ms":5000.0},
{"name":"farmer-ledger","effect":"pure","target_ms":2900.0,"give_up_ms":8700.0,"worth":2.0,"late_worth":0.0,"memory_span_ms":5000.0},
{"name":"pour-entry","effect":"token","target_ms":2200.0,"give_up_ms":7200.0,"worth":5.0,"late_worth":0.0,"memory_span_ms":21744.0}],
"policy_limits":{"cpu_us_per_request":0.0,"cpu_us_per_s":60000,"max_retry_after_ms":1000.0,"retry_after":true},
"safety":{"answer_slack_ms":80.0,"cold_ms":17000.0,"cold_share":0.24,"drain_grace_ms":2500.0,"fall_multiple":8.0,"tip_after_ms":3000.0},
"specifics":{"below":"tier","callers":3,"calls_out":0.0,"class_calls":[true,false,true,true],"class_skip_worth":[0.5,0.0,0.5,0.0],
"cold":false,"deep_checks":false,"dep_window_ms":5000.0,"fresh_for_ms":0.0,"gauges":["core_use","on_cores","heap_share","links"],
"heeded_ms":1000.0,"keepalive_max_ms":30000.0,"key_kb":128.22,"linger_ms":200.0,"list_follows":true,"memory_kb":41526.0,"n_cores":6,
"passes_deadline":false,"preemption":"suspend","run_factor":8.0,"say":"share_of","tells_gone":true}}"#;
