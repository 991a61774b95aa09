use {
    rustix::ioctl::{ioctl, Getter, Opcode},
    socket2::SockRef,
    std::{ffi::c_int, io, os::fd::AsFd},
    tokio::net::TcpStream,
};

/// `SIOCOUTQ` of Linux on x86-64 and arm64.
const SIOCOUTQ: Opcode = 0x5411;

/// Number of bytes from which the kernel takes no more for a connection that it has not sent. It is checked for each
/// segment, so that up to one segment more is taken.
const UNSENT_MAX_BYTES: u32 = 16 * 1024;

/// Limits the bytes that the kernel takes from the process and has not sent, e.g. since the peer does not read. It would
/// take up to 4 MB, which no budget counts. What is on its way to the peer is not limited, nor is the throughput.
pub(super) fn limit_unsent(stream: &TcpStream) {
    // Without the option, the connection can be served as well.
    let _ = SockRef::from(stream).set_tcp_notsent_lowat(UNSENT_MAX_BYTES);
}

/// Returns the number of bytes that were written to a connection and that its peer has not acknowledged. The connection is
/// shut down for writing.
///
/// # Errors
/// Returns an error if the system does not tell.
#[allow(unsafe_code)]
pub(super) fn undelivered_bytes(stream: &TcpStream) -> io::Result<usize> {
    // SAFETY: this operation writes one `int`, and has no other effect.
    let unacknowledged = unsafe { ioctl(stream.as_fd(), Getter::<SIOCOUTQ, c_int>::new()) }?;
    // The end of the stream counts as one byte.
    Ok(usize::try_from(unacknowledged).unwrap_or(0).saturating_sub(1))
}
