use {
    super::StandinSettings,
    serde_json::json,
    std::{thread, time::Duration},
    ureq::Agent,
};

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);
/// Delay before the next attempt if an announcement failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a request to the daemon.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Announces the server to its local daemon periodically. Never returns.
pub(super) fn announce(settings: &StandinSettings, incarnation: &str) {
    let config = Agent::config_builder()
        .timeout_global(Some(ANSWER_TIMEOUT))
        .proxy(None);
    let agent: Agent = config.build().into();
    let body = json!({
        "service": settings.service,
        "address": settings.address.to_string(),
        "incarnation": incarnation,
        "slots": settings.slots,
        "connections": settings.connections,
        "checks_fencing": settings.checks_fencing,
    });
    let url = format!("http://{}/announce", settings.daemon_address);
    loop {
        let announced = agent
            .post(&url)
            .content_type("application/json")
            .send(body.to_string());
        thread::sleep(if announced.is_ok() {
            ANNOUNCE_INTERVAL
        } else {
            RETRY_INTERVAL
        });
    }
}
