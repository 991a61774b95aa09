#[cfg(all(target_os = "linux", target_env = "gnu"))]
use std::ffi::c_int;

/// Size from which a block is mapped on its own, so that its memory returns to the system when it is freed. It is the
/// initial one of glibc: with larger ones, gaps of growing bodies make a crowd of clients take up to a quarter more memory.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const MAPPED_BYTES_MIN: c_int = 128 * 1024;
/// Free memory at the end of the heap from which it is returned. It is twice the size above, as by default.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const TRIMMED_BYTES_MIN: c_int = 2 * MAPPED_BYTES_MIN;

/// Makes the allocator return the memory of large blocks when they are freed.
///
/// By default, glibc keeps freed blocks of up to 32 MiB once it has freed one of their size. A small block that is then
/// placed into such a gap makes it too small for the next body, so that the process has the memory of two.
#[allow(unsafe_code)]
pub fn return_large_blocks() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    {
        // SAFETY: `mallopt` takes its own lock and changes only settings of the allocator.
        // If it rejects a value, the default stays in place.
        unsafe {
            libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_BYTES_MIN);
            libc::mallopt(libc::M_TRIM_THRESHOLD, TRIMMED_BYTES_MIN);
        }
    }
}
