//! Message types of the wire formats, generated from the `.proto` files by `cargo run -p clementine-codegen`.

#![allow(missing_docs)]

#[rustfmt::skip]
#[path = "generated/clementinefold.consensus.rs"]
pub mod consensus;
#[rustfmt::skip]
#[path = "generated/clementinefold.control.rs"]
pub mod control;
#[rustfmt::skip]
#[path = "generated/clementinefold.peer.rs"]
pub mod peer;
#[rustfmt::skip]
#[path = "generated/clementinefold.schema.rs"]
pub mod schema;
#[rustfmt::skip]
#[path = "generated/clementinefold.settings.rs"]
pub mod settings;
