//! Generates the message types of clementinefold from its `.proto` files.

use {
    anyhow::{Context, Result},
    std::{fs, path::Path},
};

/// Files whose messages are read from and written to JSON.
const JSON_PACKAGES: [&str; 2] = [".clementinefold.settings", ".clementinefold.schema"];

/// All `.proto` files, in the folder `proto/`.
const PROTO_FILES: [&str; 5] = [
    "settings.proto",
    "schema.proto",
    "control.proto",
    "consensus.proto",
    "peer.proto",
];

/// Writes one Rust file for each package of `proto_dir` into `out_dir`.
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
