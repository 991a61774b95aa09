//! Checks that the committed message types and reference pages match the `.proto` files.

use std::{fs, path::Path};

#[test]
fn is_fresh() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let out = tempfile::tempdir().unwrap();
    clementine_codegen::generate(&root.join("proto"), out.path()).unwrap();
    let mut files = 0;
    for entry in fs::read_dir(out.path()).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap();
        let committed = fs::read_to_string(root.join("src/wire/generated").join(name)).unwrap_or_default();
        let fresh = fs::read_to_string(&path).unwrap();
        assert_eq!(
            committed, fresh,
            "{name:?} is stale; run `cargo run -p clementine-codegen`"
        );
        files += 1;
    }
    assert_eq!(files, 5);
}

#[test]
fn pages_are_fresh() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let out = tempfile::tempdir().unwrap();
    clementine_codegen::generate_pages(&root.join("proto"), out.path()).unwrap();
    for page in ["SETTINGS.md", "SCHEMA.md"] {
        let committed = fs::read_to_string(root.join("docs").join(page)).unwrap_or_default();
        let fresh = fs::read_to_string(out.path().join(page)).unwrap();
        assert_eq!(
            committed, fresh,
            "{page} is stale; run `cargo run -p clementine-codegen`"
        );
        assert!(!fresh.contains("|  |"), "{page}: a field has no comment");
    }
}
