//! docs/INTERFACES.md lists the same reasons as the source.

use {
    clementinefold::call::Reason,
    std::{fs, path::Path},
};

#[test]
fn reasons_match_source() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/INTERFACES.md");
    let text = fs::read_to_string(page).unwrap();
    let after = text.split("| reason | status | outcome |").nth(1).unwrap();
    let listed_rows: Vec<String> = after
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
    let expected_rows: Vec<String> = Reason::ALL.iter().map(row).collect();
    assert_eq!(listed_rows, expected_rows);
}

#[test]
fn reasons_found_by_word() {
    for reason in Reason::ALL {
        assert_eq!(Reason::from_word(reason.word()), Some(*reason));
    }
}
