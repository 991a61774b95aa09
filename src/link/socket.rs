use {
    rustix::net::sockopt,
    std::{io, time::Duration},
    tokio::net::TcpStream,
};

/// `TCP_USER_TIMEOUT`: sent bytes that are not acknowledged for this long end the connection. The value is above every
/// process pause that leases survive, and far below the minutes that the kernel waits by default.
const USER_TIMEOUT_MS: u32 = 5000;
/// Time without received data after which the kernel sends the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes that end the connection.
const KEEPALIVE_PROBES: u32 = 3;

/// Sets the socket options of a link, so that a peer that vanishes without a reset is detected.
///
/// # Errors
/// Returns an error if the system rejects an option.
pub(super) fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_tcp_user_timeout(stream, USER_TIMEOUT_MS)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    Ok(())
}
