use {
    super::standin_server::Shared,
    anyhow::{anyhow, Result},
    rouille::Response,
    std::{net::SocketAddr, sync::Arc, thread},
};

/// Serves `GET /report`, which returns the grants and runs of this server as JSON, from a thread of its own.
///
/// # Errors
/// Returns an error if the address cannot be used or the thread cannot be started.
pub(super) fn serve_report(address: SocketAddr, shared: Arc<Shared>) -> Result<()> {
    let server = rouille::Server::new(address, move |request| match request.url().as_str() {
        "/report" => Response::json(&shared.report()),
        _ => Response::empty_404(),
    });
    let server = server.map_err(|e| anyhow!("listening on {address}: {e}"))?;
    thread::Builder::new()
        .name("report".into())
        .spawn(move || server.run())?;
    Ok(())
}
