//! One `clementined` process: its duties, and how they carry out the decisions.

mod call_path;
mod control_client;
mod control_handler;
mod daemon_cx;
mod decisions;
mod dispatch;
mod explain;
mod grant_task;
mod guard_holder;
mod guard_task;
mod guarded_call;
mod key_reload;
mod local_server;
mod operator_handler;
mod peer_handler;
mod run;
mod server_handler;
mod session_task;
mod slot_gate;
mod split_status;
mod watch_task;

pub use run::run_daemon;
