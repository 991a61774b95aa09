//! Keys and spans of keys.

mod key_bytes;
mod key_range;

pub use {
    key_bytes::{Key, KeyTextError},
    key_range::KeyRange,
};
