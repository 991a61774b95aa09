//! HTTP interfaces for callers, backend servers and operators.

mod answer_filter;
mod caller_edge;
mod caller_stream;
mod carried_calls;
mod connection;
mod connection_state;
mod counted_stream;
mod delivery_stop;
mod head_timer;
mod http_server;
mod linger;
mod message_scanner;
mod open_connections;
mod operator_edge;
mod receive_queue;
mod request_signature;
mod send_queue;
mod server_client;
mod server_dialect;
mod server_edge;
mod server_orders;
mod stop_rule;

pub use {
    caller_edge::{add_headers, caller_response, read_call, read_route_headers, RouteHeaders},
    delivery_stop::DeliveryStop,
    http_server::{
        body_error_response, json_response, json_text_response, plain_response, serve_http,
        serve_http_until_delivered, serve_http_within, BodyError, HttpRequest, HttpResponse,
    },
    message_scanner::{BodyLength, MessageScanner},
    operator_edge::{operator_command, CommandRequest},
    request_signature::{RequestSignature, SignatureError},
    server_client::{Attempt, ServerClient, ServerLimits, ServerReply},
    server_dialect::{
        read_limit, read_load, AnswerHead, FoldDialect, LoadNotice, ServerDialect, ServerNotice,
    },
    server_edge::{check_server, read_announce, read_leave, LeaveRequest},
    server_orders::{Order, OrderError, ServerOrders},
};
