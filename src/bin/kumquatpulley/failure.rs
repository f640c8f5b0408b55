//! Command errors: a message, an exit code and, for an invalid file, its errors.

use std::fmt;

use kumquatpulley::version::check;
use kumquatpulley::version::store;

use crate::exit_code;

/// Result of a command; the error report holds a [`CommandFailure`].
pub type Result<T> = eyre::Result<T>;

/// Error of a failed command.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct CommandFailure {
    /// Exit code of the program.
    pub code: exit_code::ExitCode,
    /// Error message that also says what to do next.
    pub message: String,
    /// Errors in a declaration file; empty for other failures.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<FileFault>,
}

/// One error in a declaration file.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct FileFault {
    /// Path of the file.
    pub file: String,
    /// Line number, starting at 1.
    pub line: u64,
    /// Path of the field.
    pub field: String,
    /// What is wrong and how to fix it.
    pub message: String,
}

impl CommandFailure {
    /// Creates a failure without file errors.
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
