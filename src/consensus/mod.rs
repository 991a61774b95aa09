//! Replicated log of the control hosts. [`Core`] implements the protocol (Raft) as a state machine without I/O;
//! [`Storage`] keeps its durable state on disk.

mod core;
mod core_writes;
mod election;
mod follower;
mod member_change;
mod membership;
mod output;
mod progress;
mod replica_log;
mod replication;
mod storage;
mod storage_folder;
mod storage_record;

pub use {
    self::core::{Core, CoreConfig},
    member_change::{MemberChange, MemberChangeError},
    output::{Apply, CoreEvent, Outputs, Write},
    replica_log::ReplicaLog,
    storage::{SavedState, Storage, StorageError},
    storage_folder::{DiskFolder, Folder},
};
