//! Regenerates `src/wire/generated/`, `docs/SETTINGS.md` and `docs/SCHEMA.md`: `cargo run -p clementine-codegen`.

use {anyhow::Result, std::path::Path};

fn main() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    clementine_codegen::generate(&root.join("proto"), &root.join("src/wire/generated"))?;
    clementine_codegen::generate_pages(&root.join("proto"), &root.join("docs"))
}
