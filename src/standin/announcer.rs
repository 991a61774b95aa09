use {
    super::StandinSettings,
    serde_json::json,
    std::{thread, time::Duration},
    ureq::Agent,
};

/// Time between two announcements.
const ANNOUNCE_PAUSE: Duration = Duration::from_secs(2);
/// Time until the next try when the daemon could not be reached.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest time for an answer of the daemon.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Announces the server to its local daemon, again and again.
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
    let url = format!("http://{}/announce", settings.daemon);
    loop {
        let announced = agent
            .post(&url)
            .content_type("application/json")
            .send(body.to_string());
        thread::sleep(if announced.is_ok() {
            ANNOUNCE_PAUSE
        } else {
            RETRY_PAUSE
        });
    }
}
