//! docs/INTERFACES.md lists exactly the reasons of the source.

use {
    clementinefold::call::Reason,
    std::{fs, path::Path},
};

#[test]
fn reasons_match_source() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/INTERFACES.md");
    let text = fs::read_to_string(page).unwrap();
    let after = text.split("| reason | status | outcome |").nth(1).unwrap();
    let listed: Vec<String> = after
        .lines()
        .skip(2)
        .take_while(|line| line.starts_with('|'))
        .map(|line| line.rsplitn(3, '|').last().unwrap().to_owned())
        .collect();
    let row = |reason: &Reason| {
        format!(
            "| `{}` | {} | {} ",
            reason.word(),
            reason.status(),
            reason.outcome().word()
        )
    };
    let known: Vec<String> = Reason::ALL.iter().map(row).collect();
    assert_eq!(listed, known);
}

#[test]
fn words_read_back() {
    for reason in Reason::ALL {
        assert_eq!(Reason::from_word(reason.word()), Some(*reason));
    }
}
