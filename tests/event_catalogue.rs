//! docs/EVENTS.md must list exactly the events of the source, with their levels.

use {
    clementinefold::event::Event,
    std::{fs, path::Path},
};

#[test]
fn matches_source() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/EVENTS.md");
    let text = fs::read_to_string(page).unwrap();
    let listed: Vec<(String, String)> = text
        .lines()
        .filter(|line| line.starts_with("| CF"))
        .map(|line| {
            let cells: Vec<&str> = line.split('|').map(str::trim).collect();
            (cells[1].to_owned(), cells[2].to_owned())
        })
        .collect();
    let level = |event: &Event| event.level().as_str().to_lowercase();
    let known: Vec<(String, String)> = Event::ALL
        .iter()
        .map(|event| (event.code().to_owned(), level(event)))
        .collect();
    assert_eq!(listed, known);
}

#[test]
fn codes_ascend() {
    let codes: Vec<&str> = Event::ALL.iter().map(|event| event.code()).collect();
    assert!(codes.windows(2).all(|pair| pair[0] < pair[1]), "{codes:?}");
}
