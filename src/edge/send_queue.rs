use {
    rustix::ioctl::{ioctl, Getter, Opcode},
    std::{ffi::c_int, io, os::fd::AsFd},
    tokio::net::TcpStream,
};

/// `SIOCOUTQ` of Linux on x86-64 and arm64.
const SIOCOUTQ: Opcode = 0x5411;

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
