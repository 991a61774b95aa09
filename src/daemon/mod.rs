//! The `clementined` process: its tasks, which serve calls and carry out the decisions of the leader.

mod call_path;
mod confirm_task;
mod control_client;
mod control_handler;
mod daemon_cx;
mod decisions;
mod departure;
mod dispatch;
mod edges;
mod evacuation;
mod explain;
mod grant_task;
mod guard_holder;
mod guard_task;
mod guarded_call;
mod heartbeat;
mod hedged_attempt;
mod kept_answers;
mod key_reload;
mod large_answers;
mod left_servers;
mod local_server;
mod node;
mod operator_handler;
mod peer_handler;
mod removed_heartbeats;
mod route_limits;
mod routed_path;
mod run;
mod server_candidates;
mod server_handler;
mod server_limits;
mod server_notice;
mod session_task;
mod slot_gate;
mod split_status;
mod state_fetch;
mod stop;
mod time_limit;
mod watch_task;

pub use {
    edges::{Edges, FoldEdges, IncomingRequest, ResponseFuture},
    evacuation::{EvacuationOrder, EvacuationOutcome},
    heartbeat::{Heartbeat, HeartbeatError, HoldAnswer},
    node::{Node, ReplaceOutcome, SchemaVersion},
    routed_path::RoutedRequest,
    run::{run_daemon, run_with_edges},
};
