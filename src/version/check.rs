//! Validation of declarations: strict parsing, then all rules, so that all faults are reported at
//! once.

use std::collections;
use std::fmt;

use crate::version::declaration;
use crate::version::lines;
use crate::version::rules;
use crate::version::syntax;

/// Result of validation: the declarations, or all faults found.
pub type Result<T> = std::result::Result<T, Vec<DeclarationFault>>;

/// One fault in a declaration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclarationFault {
    /// Name of the file.
    pub file: String,
    /// Line number, starting at 1.
    pub line: u64,
    /// Path of the field, such as `services[0].name`, or `document`.
    pub field: String,
    /// What is wrong, which values are allowed and how to fix it.
    pub message: String,
}

impl fmt::Display for DeclarationFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            field,
            message,
        } = self;
        write!(f, "{file}:{line}: {field}: {message}")
    }
}

impl std::error::Error for DeclarationFault {}

/// Parses and validates the declarations in `yaml`; faults name the file as `file`.
///
/// # Errors
/// The syntax fault if `yaml` cannot be parsed, otherwise all rule violations, sorted by line.
pub fn parse(file: &str, yaml: &str) -> Result<declaration::DeclaredSet> {
    if is_blank(yaml) {
        let message = "the file declares nothing; write at least `services: []`";
        return Err(vec![fault(file, 1, "document", message)]);
    }
    let set: declaration::DeclaredSet = serde_saphyr::from_str_with_options(yaml, strict_options())
        .map_err(|error| vec![syntax_fault(file, yaml, &error)])?;
    // Locating fields takes longer than checking the rules, so it is done only if there are faults.
    if find_faults(file, &set, &lines::FieldLines::default()).is_empty() {
        return Ok(set);
    }
    Err(find_faults(file, &set, &lines::FieldLines::read(yaml)))
}

/// Returns the rule violations of `set`, sorted by their line in `lines`.
fn find_faults(
    file: &str,
    set: &declaration::DeclaredSet,
    lines: &lines::FieldLines,
) -> Vec<DeclarationFault> {
    let mut faults = FaultList {
        file,
        lines,
        faults: Vec::new(),
    };
    rules::check_set(set, &mut faults);
    faults.faults.sort_by_key(|fault| fault.line);
    faults.faults
}

/// Whether `yaml` has only comments and blank lines; applying it would remove every service.
fn is_blank(yaml: &str) -> bool {
    let mut content = yaml.lines().map(str::trim);
    content.all(|line| line.is_empty() || line.starts_with('#') || line == "---")
}

fn strict_options() -> serde_saphyr::Options {
    serde_saphyr::options! {
        strict_booleans: true,
        duplicate_keys: serde_saphyr::options::DuplicateKeyPolicy::Error,
        merge_keys: serde_saphyr::options::MergeKeyPolicy::Error,
    }
}

fn syntax_fault(file: &str, yaml: &str, error: &serde_saphyr::Error) -> DeclarationFault {
    let found = syntax::describe(error, &lines::FieldLines::read(yaml));
    fault(file, found.line, &found.field, &found.message)
}

fn fault(file: &str, line: u64, field: &str, message: &str) -> DeclarationFault {
    DeclarationFault {
        file: file.to_owned(),
        line,
        field: field.to_owned(),
        message: message.to_owned(),
    }
}

/// Collects the faults of one file and looks up their lines.
#[derive(Debug)]
pub struct FaultList<'a> {
    file: &'a str,
    lines: &'a lines::FieldLines,
    faults: Vec<DeclarationFault>,
}

impl FaultList<'_> {
    /// Adds a fault for the field at `path`.
    pub fn add(&mut self, path: &str, message: &str) {
        let line = self.lines.line_of(path);
        self.faults.push(fault(self.file, line, path, message));
    }

    /// Adds a fault if `name` is already in `seen`, which maps names to field paths; `what` is the
    /// kind of name.
    pub fn add_if_seen(
        &mut self,
        seen: &mut collections::HashMap<String, String>,
        name: &str,
        path: &str,
        what: &str,
    ) {
        let Some(first) = seen.get(name) else {
            seen.insert(name.to_owned(), path.to_owned());
            return;
        };
        let line = self.lines.line_of(first);
        let message = format!("{what} `{name}` is already used in line {line}; use another");
        self.add(path, &message);
    }
}
