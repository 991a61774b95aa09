//! The operators' schema file: read from JSON and checked.

mod call_kind;
mod schema_checks;
mod schema_types;
mod service;

pub use {
    call_kind::CallKind,
    schema_types::{Half, LossPolicy, Schema, ServiceSpan, Split},
    service::{Service, Weights},
};
