use {
    crate::{control::Server, settings::Settings},
    serde::Deserialize,
    std::net::SocketAddr,
};

/// Body of `POST /announce`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AnnounceRequest {
    service: String,
    address: SocketAddr,
    incarnation: String,
    slots: u32,
    connections: u32,
    checks_fencing: bool,
}

/// Body of `POST /leave`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaveRequest {
    /// Name of the service.
    pub service: String,
    /// Address of the server.
    pub address: SocketAddr,
    /// Incarnation of the server process.
    pub incarnation: String,
}

/// Reads the announcement of a backend server. Only servers of this host are accepted, since a server takes orders
/// from its local daemon only.
///
/// # Errors
/// Returns what is wrong with the body, as a text for the server's log.
pub fn read_announce(body: &[u8], settings: &Settings) -> Result<Server, String> {
    let request: AnnounceRequest = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    check_server(&request.service, request.address, settings)?;
    if request.slots == 0 || request.connections < 2 {
        return Err("slots: at least 1, and connections: at least 2, are needed".into());
    }
    Ok(Server {
        service: request.service,
        address: request.address.to_string(),
        incarnation: request.incarnation,
        slots: request.slots,
        connections: request.connections,
        checks_fencing: request.checks_fencing,
        leaving: false,
        cold: false,
    })
}

/// Checks that a server which announces itself belongs to this host: only the settings say which services run here.
///
/// # Errors
/// Returns the mismatch, as a text for the server's log.
pub fn check_server(service: &String, address: SocketAddr, settings: &Settings) -> Result<(), String> {
    if !is_local(address, settings) {
        return Err(format!("address: {address} is not on this host"));
    }
    if settings.services.binary_search(service).is_err() {
        return Err(format!(
            "service: {service:?} is not in the settings of this host"
        ));
    }
    Ok(())
}

/// Reads the request of a backend server to leave.
///
/// # Errors
/// Returns what is wrong with the body, as a text for the server's log.
pub fn read_leave(body: &[u8]) -> Result<LeaveRequest, String> {
    serde_json::from_slice(body).map_err(|e| e.to_string())
}

/// Returns whether `address` belongs to this host, i.e. is a loopback address or an IP that this daemon listens on.
fn is_local(address: SocketAddr, settings: &Settings) -> bool {
    let own_addresses = [
        settings.caller_address,
        settings.server_address,
        Some(settings.peer_address),
    ];
    let mut own_addresses = own_addresses.iter().flatten();
    address.ip().is_loopback() || own_addresses.any(|listening| listening.ip() == address.ip())
}
