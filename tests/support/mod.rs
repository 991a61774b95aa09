//! What several tests share.

#![allow(dead_code)]

pub mod exchange;
pub mod mem_disk;
