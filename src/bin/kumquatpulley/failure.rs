//! Why a command failed: one sentence, an exit code, and the faults of a file if there are any.

use std::fmt;

use kumquatpulley::version::check;
use kumquatpulley::version::store;

use crate::exit_code;

/// Outcome of a command; the report holds a [`CommandFailure`].
pub type Result<T> = eyre::Result<T>;

/// A failed command.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct CommandFailure {
    /// How the program ends.
    pub code: exit_code::ExitCode,
    /// One plain sentence with the next step.
    pub message: String,
    /// Faults of a declaration file, by line.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<FileFault>,
}

/// One fault of a declaration file.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct FileFault {
    /// File name.
    pub file: String,
    /// Line, from 1.
    pub line: u64,
    /// Path of the field.
    pub field: String,
    /// What is wrong and how to put it right.
    pub message: String,
}

impl CommandFailure {
    /// A failure without faults of a file.
    pub fn new(code: exit_code::ExitCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            faults: Vec::new(),
        }
    }
}

impl fmt::Display for CommandFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.faults {
            let FileFault {
                file,
                line,
                field,
                message,
            } = fault;
            writeln!(f, "{file}:{line}: {field}: {message}")?;
        }
        f.write_str(&self.message)
    }
}

impl std::error::Error for CommandFailure {}

impl From<check::DeclarationFault> for FileFault {
    fn from(fault: check::DeclarationFault) -> Self {
        Self {
            file: fault.file,
            line: fault.line,
            field: fault.field,
            message: fault.message,
        }
    }
}

impl From<Vec<check::DeclarationFault>> for CommandFailure {
    fn from(faults: Vec<check::DeclarationFault>) -> Self {
        let message = match faults.len() {
            1 => "1 fault; correct it and try again".to_owned(),
            count => format!("{count} faults; correct them and try again"),
        };
        Self {
            code: exit_code::ExitCode::Declarations,
            message,
            faults: faults.into_iter().map(FileFault::from).collect(),
        }
    }
}

impl From<store::StoreError> for CommandFailure {
    fn from(error: store::StoreError) -> Self {
        let code = match error {
            store::StoreError::Refused(faults) => return faults.into(),
            store::StoreError::Unreachable(_) => exit_code::ExitCode::Unavailable,
            store::StoreError::Unsettled { .. } => exit_code::ExitCode::Unsettled,
            store::StoreError::NoVersion(_) => exit_code::ExitCode::NoInput,
            store::StoreError::Malformed { .. } => exit_code::ExitCode::Software,
        };
        Self::new(code, error.to_string())
    }
}
