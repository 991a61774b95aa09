//! The schema that operators write: its types, and how it is read from JSON and checked.

mod call_kind;
mod packed_text;
mod route;
mod route_checks;
mod schema_checks;
mod schema_types;
mod service;
mod text_patch;

pub use {
    call_kind::CallKind,
    packed_text::PackedText,
    route::{Route, RouteLimits, RouteTarget, Routes},
    schema_types::{Half, LossPolicy, Schema, ServiceSpan, Split},
    service::{Service, Warmup, Weights},
};
