//! The split of a cluster into two halves.
//!
//! The stages are part of the replicated state, and the functions that evaluate them are pure. docs/design/split.md
//! describes the stages and proves that no key has an owner in both cells.

mod progress;
mod sides;
mod stages;

pub use {
    progress::Progress,
    sides::{side_of_host, side_of_keys},
    stages::{next_stage, stage_after, stage_name, SplitError},
};
