//! Checks of declarations: strict reading, then every rule, so that all faults are told at once.

use std::collections;
use std::fmt;

use crate::version::declaration;
use crate::version::lines;
use crate::version::rules;
use crate::version::syntax;

/// Outcome of a check: the declarations, or every fault found.
pub type Result<T> = std::result::Result<T, Vec<DeclarationFault>>;

/// One fault in a declaration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclarationFault {
    /// File name.
    pub file: String,
    /// Line, from 1.
    pub line: u64,
    /// Path of the field, such as `services[0].name`.
    pub field: String,
    /// What is wrong, what is allowed and how to put it right.
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

/// Reads and checks the declarations in `yaml`; `file` names them in faults.
///
/// # Errors
/// The fault that makes the text unreadable, or all faults of a readable text, by line.
pub fn parse(file: &str, yaml: &str) -> Result<declaration::DeclaredSet> {
    if is_blank(yaml) {
        let message = "the file declares nothing; write at least `services: []`";
        return Err(vec![fault(file, 1, "document", message)]);
    }
    let set: declaration::DeclaredSet = serde_saphyr::from_str_with_options(yaml, strict_options())
        .map_err(|error| vec![syntax_fault(file, yaml, &error)])?;
    // Finding the lines takes longer than the rules, so only texts with faults are searched.
    if faults_of(file, &set, &lines::FieldLines::default()).is_empty() {
        return Ok(set);
    }
    Err(faults_of(file, &set, &lines::FieldLines::read(yaml)))
}

/// Faults by line, as far as `lines` knows them.
fn faults_of(
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

/// A text of comments and blank lines alone would remove every service.
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

/// Collects the faults of one file.
#[derive(Debug)]
pub struct FaultList<'a> {
    file: &'a str,
    lines: &'a lines::FieldLines,
    faults: Vec<DeclarationFault>,
}

impl FaultList<'_> {
    /// Adds a fault of the field at `path`.
    pub fn add(&mut self, path: &str, message: &str) {
        let line = self.lines.line_of(path);
        self.faults.push(fault(self.file, line, path, message));
    }

    /// Adds a fault when `name` is already in `seen`, which maps names to their field paths.
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
