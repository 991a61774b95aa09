use {
    super::standin_server::Shared,
    anyhow::{anyhow, Result},
    rouille::Response,
    std::{net::SocketAddr, sync::Arc, thread},
};

/// Serves `GET /report`: the grants and the runs of this server so far, as JSON.
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
