use {
    crate::clock::{Clock, Ms},
    procfs::{
        net::{tcp, tcp6, TcpNetEntry},
        ProcResult,
    },
    std::{cell::RefCell, net::SocketAddr},
    tokio::net::TcpStream,
};

/// Time for which a table that was read is used. Reading it takes a few ms with thousands of connections.
const MAX_AGE: Ms = Ms(100);

/// The send queues of the TCP connections of this host, as the kernel's tables of sockets show them.
#[derive(Debug, Default)]
pub(super) struct SendQueues {
    v4: RefCell<Option<Table>>,
    v6: RefCell<Option<Table>>,
}

#[derive(Debug)]
struct Table {
    read_at: Ms,
    /// Local address, remote address, and bytes that the peer has not acknowledged. Sorted by the addresses.
    queues: Vec<(SocketAddr, SocketAddr, u32)>,
}

impl Table {
    fn new(entries: Vec<TcpNetEntry>, read_at: Ms) -> Self {
        let queues = entries.into_iter();
        let mut queues: Vec<_> = queues
            .map(|e| (e.local_address, e.remote_address, e.tx_queue))
            .collect();
        queues.sort_unstable();
        Self { read_at, queues }
    }
}

impl SendQueues {
    /// Returns the number of bytes that were written to a connection and that its peer has not acknowledged. The connection is
    /// shut down for writing. Returns `None` if the system does not tell.
    pub fn undelivered(&self, stream: &TcpStream) -> Option<u32> {
        let (local, peer) = (stream.local_addr().ok()?, stream.peer_addr().ok()?);
        let (table, read): (_, fn() -> ProcResult<_>) = match local {
            SocketAddr::V4(_) => (&self.v4, tcp),
            SocketAddr::V6(_) => (&self.v6, tcp6),
        };
        let now = Clock::System.now();
        let mut table = table.borrow_mut();
        if table.as_ref().is_none_or(|t| now - t.read_at >= MAX_AGE) {
            *table = Some(Table::new(read().ok()?, now));
        }
        let queues = &table.as_ref()?.queues;
        let found = queues.binary_search_by_key(&(local, peer), |(l, p, _)| (*l, *p));
        // The end of the stream counts as one byte.
        found.ok().map(|i| queues[i].2.saturating_sub(1))
    }
}
