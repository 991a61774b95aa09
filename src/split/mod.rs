//! The split of a cluster into two halves.
//!
//! The stages are part of the replicated state; what is decided from them is pure. docs/design/split.md
//! gives the stages and the proof that no key has an owner in both cells.

mod progress;
mod sides;
mod stages;

pub use {
    progress::Progress,
    sides::{side_of_host, side_of_keys},
    stages::{decide, next_step, stage_word, SplitError},
};
