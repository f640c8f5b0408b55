//! Declarations of a bench, as YAML.

use std::fmt::Write as _;
use std::fs;
use std::path;

use crate::bench;

/// Outcome of writing declarations.
pub type Result<T> = eyre::Result<T>;

/// SHA-256 of [`bench::BEARER`].
const BEARER_HASH: &str = "1cf1e8c6aa06c12cb2ae474e62834c1238305711704e2d28b9efc44358c161fa";

impl bench::TestBench {
    /// Writes the declarations with a model version and a workspace limit, and returns the file.
    pub fn write_declarations(
        &self,
        model_version: &str,
        max_in_flight: usize,
    ) -> Result<path::PathBuf> {
        let model = bench::MODEL;
        let mut yaml = format!(
            "services:\n  - name: quotes\n    model: {{name: {model}, version: {model_version}}}\n    \
             endpoints:\n"
        );
        for (index, engine) in self.engines.iter().enumerate() {
            writeln!(
                yaml,
                "      - {{name: {}, address: \"{}\", zone: {}, slots: 8, checks_fencing: true}}",
                engine.name,
                engine.address(),
                bench::ZONES[index % bench::ZONES.len()],
            )?;
        }
        if let Some(service) = &self.service {
            writeln!(
                yaml,
                "  - name: stock\n    endpoints:\n      - {{name: {}, address: \"{}\", zone: {}}}",
                service.name,
                service.address(),
                bench::ZONES[0],
            )?;
        }
        writeln!(
            yaml,
            "workspaces:\n  - name: planners\n    key_hashes: [{BEARER_HASH}]\n    \
             max_in_flight: {max_in_flight}\nroutes:\n  - {{model: {model}, service: quotes}}"
        )?;
        if self.service.is_some() {
            writeln!(yaml, "  - {{path: /, service: stock}}")?;
        }
        let file = self
            .folder
            .path()
            .join(format!("{model_version}-{max_in_flight}.yaml"));
        fs::write(&file, yaml)?;
        Ok(file)
    }
}
