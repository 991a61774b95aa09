use {
    socket2::SockRef,
    std::{
        ffi::c_int,
        io,
        os::fd::{AsRawFd, BorrowedFd},
    },
};

/// `SO_BUF_LOCK` of Linux (5.14 and later) on x86-64 and arm64: tells which buffer sizes of a socket are fixed.
const SO_BUF_LOCK: c_int = 72;
/// Receive buffer with which a connection begins. The kernel doubles it, and enlarges it as the process reads.
const INITIAL_BUF_BYTES: usize = 16 * 1024;

/// Makes the connections of a listener begin with a small receive buffer. The kernel would otherwise keep 128 KB for
/// each whose bytes are not read, e.g. while a body waits for memory, which no budget counts. The buffer still grows with
/// what the process reads, so that large bodies arrive as fast as before.
///
/// # Errors
/// Returns an error if the system does not support it. The listener is unchanged then.
pub(super) fn limit_unread(listener: BorrowedFd<'_>) -> io::Result<()> {
    // A size that was set is fixed unless the lock is removed. Without support for that, none is set.
    unlock_buffers(listener)?;
    SockRef::from(&listener).set_recv_buffer_size(INITIAL_BUF_BYTES)?;
    unlock_buffers(listener)
}

#[allow(unsafe_code)]
fn unlock_buffers(socket: BorrowedFd<'_>) -> io::Result<()> {
    let locked: c_int = 0;
    // SAFETY: the option reads one `int`, whose address and size are given.
    let result = unsafe {
        libc::setsockopt(
            socket.as_raw_fd(),
            libc::SOL_SOCKET,
            SO_BUF_LOCK,
            std::ptr::from_ref(&locked).cast(),
            size_of::<c_int>() as libc::socklen_t,
        )
    };
    match result {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}
