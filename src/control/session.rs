use crate::wire::control as wire;

/// A backend server as it announced itself.
pub type Server = wire::Server;

impl Server {
    /// Returns the name of the process. It is the part of the incarnation before the last `@`, or all of it.
    pub fn instance(&self) -> &str {
        let parts = self.incarnation.rsplit_once('@');
        parts.map_or(self.incarnation.as_str(), |(instance, _)| instance)
    }

    /// Returns the start of the process in ms since the Unix epoch, or 0 if the incarnation does not tell it.
    pub fn started_ms(&self) -> u64 {
        let parts = self.incarnation.rsplit_once('@');
        parts
            .and_then(|(_, started)| started.parse().ok())
            .unwrap_or_default()
    }
}

/// The session of one daemon process.
#[derive(Clone, Debug, PartialEq)]
pub struct Session {
    /// Log index of the change that opened the session.
    pub id: u64,
    /// The daemon process that opened the session.
    pub open: wire::OpenSession,
    /// Backend servers of the daemon, sorted by service and address.
    pub servers: Vec<Server>,
    /// Sequence number of the list of servers. A list with a lower number is ignored.
    pub servers_number: u64,
}

impl Session {
    /// Returns the server with this service and address.
    pub fn server(&self, service: &str, address: &str) -> Option<&Server> {
        let key = (service, address);
        let found = self
            .servers
            .binary_search_by(|s| (s.service.as_str(), s.address.as_str()).cmp(&key));
        found.ok().map(|i| &self.servers[i])
    }

    /// Returns the servers of one service.
    pub fn servers_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        self.servers.iter().filter(move |s| s.service == service)
    }
}
