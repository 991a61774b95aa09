//! The memory of large bodies that were freed. Guards against an allocator that keeps it for the process, which then
//! exceeds its limit with the next body.

#![cfg(all(target_os = "linux", target_env = "gnu"))]

use {
    clementinefold::memory::return_large_blocks,
    std::{fs, hint::black_box},
};

const BODY_BYTES: usize = 30_000_000;
const SMALL_BYTES: usize = 16 * 1024;
const ROUNDS: usize = 4;
/// Most that the process may have more than before, once all bodies are freed.
const KEPT_MAX_KB: u64 = 8_000;

fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.unwrap().parse().unwrap()
}

/// Small blocks that are allocated while a body is held lie behind it.
#[test]
fn bodies_returned() {
    return_large_blocks();
    let before = resident_kb();
    let mut small = Vec::new();
    for _ in 0..ROUNDS {
        let body = black_box(vec![1_u8; BODY_BYTES]);
        small.push(black_box(vec![1_u8; SMALL_BYTES]));
        drop(body);
        small.push(black_box(vec![1_u8; SMALL_BYTES]));
    }
    let kept = resident_kb().saturating_sub(before);
    assert!(
        kept <= KEPT_MAX_KB,
        "{kept} KiB are kept, {} small blocks",
        small.len()
    );
}
