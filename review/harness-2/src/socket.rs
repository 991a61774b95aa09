//! A connection with a small receive buffer, which the standard library cannot open.

use std::{
    ffi::{c_int, c_void},
    io,
    net::{SocketAddr, TcpStream},
    os::fd::{FromRawFd, OwnedFd},
};

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
/// The same on x86-64 and arm64.
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
const CLOSE_ON_EXEC: c_int = 0o2_000_000;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, size: u32) -> c_int;
    fn connect(fd: c_int, address: *const SockAddrIn, size: u32) -> c_int;
}

/// Opens a connection whose receive buffer has `bytes` from the start.
pub fn connect_with_window(address: SocketAddr, bytes: usize) -> io::Result<TcpStream> {
    let SocketAddr::V4(v4) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let to = SockAddrIn {
        family: AF_INET as u16,
        port: v4.port().to_be_bytes(),
        ip: v4.ip().octets(),
        zero: [0; 8],
    };
    let size = bytes as c_int;
    // SAFETY: the calls read the values whose addresses and sizes are given, and the new descriptor has one owner.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM | CLOSE_ON_EXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let owned = OwnedFd::from_raw_fd(fd);
        let value = std::ptr::from_ref(&size).cast();
        if setsockopt(fd, SOL_SOCKET, SO_RCVBUF, value, size_of::<c_int>() as u32) != 0 {
            return Err(io::Error::last_os_error());
        }
        if connect(fd, &to, size_of::<SockAddrIn>() as u32) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(TcpStream::from(owned))
    }
}
