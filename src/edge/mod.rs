//! HTTP interfaces for callers, backend servers and operators.

mod caller_edge;
mod caller_stream;
mod carried_calls;
mod connection;
mod connection_state;
mod counted_stream;
mod head_timer;
mod http_server;
mod linger;
mod open_connections;
mod operator_edge;
mod receive_queue;
mod request_scanner;
mod request_signature;
mod send_queue;
mod server_client;
mod server_dialect;
mod server_edge;
mod server_orders;

pub use {
    caller_edge::{add_headers, caller_response, read_call, read_route_headers, RouteHeaders},
    http_server::{
        body_error_response, json_response, json_text_response, plain_response, serve_http,
        serve_http_within, BodyError, HttpRequest, HttpResponse,
    },
    operator_edge::{operator_command, CommandRequest},
    request_scanner::{BodyLength, RequestScanner},
    request_signature::{RequestSignature, SignatureError},
    server_client::{Attempt, ServerClient, ServerLimits, ServerReply},
    server_dialect::{
        read_limit, read_load, AnswerHead, FoldDialect, LoadNotice, ServerDialect, ServerNotice,
    },
    server_edge::{check_server, read_announce, read_leave, LeaveRequest},
    server_orders::{Order, OrderError, ServerOrders},
};
