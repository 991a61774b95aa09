//! docs/METRICS.md must list exactly the metrics of the source, and a statsd listener must receive them.

use {
    clementinefold::{
        clock::Ms,
        metrics::{Metric, Metrics},
    },
    std::{fs, net::UdpSocket, path::Path, time::Duration},
};

#[test]
fn matches_source() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/METRICS.md");
    let text = fs::read_to_string(page).unwrap();
    let listed: Vec<String> = text
        .lines()
        .filter(|line| line.starts_with("| `"))
        .map(|line| {
            line.split('|')
                .take(4)
                .map(str::trim)
                .collect::<Vec<_>>()
                .join("|")
        })
        .collect();
    let row = |metric: &Metric| {
        let tags = match metric.tags() {
            [] => "-".to_owned(),
            tags => tags.join(", "),
        };
        format!("|`{}`|{}|{tags}", metric.name(), metric.kind())
    };
    let known: Vec<String> = Metric::ALL.iter().map(row).collect();
    assert_eq!(listed, known);
}

#[test]
fn listener_gets_lines() {
    let listener = UdpSocket::bind("127.0.0.1:0").unwrap();
    listener.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let metrics = Metrics::new(Some(listener.local_addr().unwrap())).unwrap();
    metrics.call("not-run", Ms(7));
    metrics.lease(true);
    // The sink sends its buffer when it is full or when the metrics are dropped.
    drop(metrics);
    let mut text = String::new();
    let mut buf = [0; 2048];
    while !text.contains("clementinefold.lease:1|g") {
        let length = listener.recv(&mut buf).unwrap();
        text.push_str(std::str::from_utf8(&buf[..length]).unwrap());
    }
    assert!(
        text.contains("clementinefold.calls:1|c|#outcome:not-run"),
        "{text}"
    );
    assert!(text.contains("clementinefold.call_ms:7|ms"), "{text}");
}
