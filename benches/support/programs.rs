//! The programs that a bench starts: stand-ins are examples, which `cargo bench` does not build.

use std::env;
use std::process;

/// Builds the stand-ins with the profile of the bench, so that their speed is that of the routers.
///
/// # Errors
/// A sentence that says what to run by hand.
pub fn build_stand_ins() -> eyre::Result<()> {
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let status = process::Command::new(cargo)
        .args(["build", "--release", "--locked", "--quiet", "--examples"])
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .status()?;
    eyre::ensure!(
        status.success(),
        "the stand-ins were not built; run `cargo build --release --locked --examples`"
    );
    Ok(())
}
