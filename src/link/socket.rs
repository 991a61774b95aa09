use {
    rustix::net::sockopt,
    std::{io, time::Duration},
    tokio::net::TcpStream,
};

/// Time after which sent bytes that were not acknowledged end a connection, in ms. It is above every pause of a
/// process that leases survive, and far below the minutes after which the kernel would give up.
const UNACKNOWLEDGED_MAX_MS: u32 = 5000;
/// Silence after which the kernel asks whether the peer is still there.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Time between two such questions.
const KEEPALIVE_EACH: Duration = Duration::from_secs(1);
/// Questions without an answer that end a connection.
const KEEPALIVE_COUNT: u32 = 3;

/// Sets the options of the socket of a link, so that a peer that fell silent without a reset is noticed.
///
/// # Errors
/// The system refuses an option.
pub(super) fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_MAX_MS)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_EACH)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_COUNT)?;
    Ok(())
}
