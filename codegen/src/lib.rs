//! Generates the message types and two reference pages of clementinefold from its `.proto` files.

mod reference_page;

pub use reference_page::reference_page;
use {
    anyhow::{Context, Result},
    std::{fs, path::Path},
};

/// Packages whose messages are also read from and written to JSON.
const JSON_PACKAGES: [&str; 2] = [".clementinefold.settings", ".clementinefold.schema"];

/// All `.proto` files in the folder `proto/`.
const PROTO_FILES: [&str; 5] = [
    "settings.proto",
    "schema.proto",
    "control.proto",
    "consensus.proto",
    "peer.proto",
];

/// Writes one Rust file into `out_dir` for each package in `proto_dir`.
pub fn generate(proto_dir: &Path, out_dir: &Path) -> Result<()> {
    let descriptors = protox::compile(PROTO_FILES, [proto_dir]).context("compiling the .proto files")?;
    fs::create_dir_all(out_dir)?;
    let mut config = prost_build::Config::new();
    config.out_dir(out_dir);
    config.bytes(["."]);
    for package in JSON_PACKAGES {
        config.message_attribute(package, "#[derive(serde::Serialize, serde::Deserialize)]");
        config.message_attribute(package, "#[serde(default, deny_unknown_fields)]");
    }
    config
        .compile_fds(descriptors)
        .context("generating the Rust code")?;
    Ok(())
}

/// Reference pages: the `.proto` file, the file name of the page, its title, and the introduction above the tables.
const PAGES: [(&str, &str, &str, &str); 2] = [
    (
        "settings.proto",
        "SETTINGS.md",
        "Settings",
        "The fields of the settings of one daemon, a JSON file. `clementined example-settings` prints an example, and\n\
         `clementined check --settings FILE` checks a file. Absent numbers take the default; unknown fields are refused.\n\
         This page is generated from `proto/settings.proto` by `cargo run -p clementine-codegen`.",
    ),
    (
        "schema.proto",
        "SCHEMA.md",
        "Schema file",
        "The fields of the operators' schema file, in JSON. `clementinectl example-schema` prints an example, and\n\
         `clementinectl check FILE` checks a file. Absent numbers take the default; unknown fields are refused.\n\
         This page is generated from `proto/schema.proto` by `cargo run -p clementine-codegen`.",
    ),
];

/// Writes the reference pages of the `.proto` files in `proto_dir` into `docs_dir`.
pub fn generate_pages(proto_dir: &Path, docs_dir: &Path) -> Result<()> {
    for (file, page, title, intro) in PAGES {
        let proto = fs::read_to_string(proto_dir.join(file)).context(file)?;
        fs::write(docs_dir.join(page), reference_page(title, intro, &proto)).context(page)?;
    }
    Ok(())
}
