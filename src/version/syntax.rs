//! Readable error messages for YAML that cannot be parsed as declarations.

use crate::version::lines;

/// Position and reason of a parse error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyntaxFault {
    /// Line number, starting at 1.
    pub line: u64,
    /// Path of the field, or `document`.
    pub field: String,
    /// What is wrong, which values are allowed and how to fix it.
    pub message: String,
}

/// Describes `error` and finds the field that it occurred in.
#[must_use]
pub fn describe(error: &serde_saphyr::Error, lines: &lines::FieldLines) -> SyntaxFault {
    let error = error.without_snippet();
    let location = error.location();
    let line = location.map_or(1, |location| location.line()).max(1);
    let column = location.map_or(1, |location| location.column());
    let named = named_key(error).and_then(|key| lines.key_on(line, key));
    let nearest = || lines.field_at(line, column);
    let field = match error {
        // A missing field has no position; the error has the position of a sibling.
        serde_saphyr::Error::SerdeMissingField { .. } => nearest().map(parent_of),
        _ => named.or_else(nearest),
    };
    SyntaxFault {
        line,
        field: field.unwrap_or("document").to_owned(),
        message: explain(error),
    }
}

fn parent_of(path: &str) -> &str {
    path.rfind('.').map_or("document", |end| &path[..end])
}

fn named_key(error: &serde_saphyr::Error) -> Option<&str> {
    match error {
        serde_saphyr::Error::SerdeUnknownField { field, .. } => Some(field),
        serde_saphyr::Error::DuplicateMappingKey { key, .. } => key.as_deref(),
        _ => None,
    }
}

fn explain(error: &serde_saphyr::Error) -> String {
    use serde_saphyr::Error as Fault;
    match error {
        Fault::SerdeUnknownField {
            field, expected, ..
        } => format!("unknown field `{field}`; use one of {}", list(expected)),
        Fault::SerdeUnknownVariant {
            variant, expected, ..
        } => format!("unknown value `{variant}`; use one of {}", list(expected)),
        Fault::SerdeMissingField { field, .. } => format!("field `{field}` is missing; add it"),
        Fault::DuplicateMappingKey { .. } => "given twice; keep one of them".to_owned(),
        Fault::InvalidBooleanStrict { .. } => "not a Boolean; use `true` or `false`".to_owned(),
        Fault::MergeKeyNotAllowed { .. } => {
            "merge keys are not read; write the fields out".to_owned()
        }
        Fault::InvalidScalar { ty: "u32", .. } => {
            format!("not a whole number; use 0 to {}", u32::MAX)
        }
        Fault::MultipleDocuments { .. } => {
            "more than one document; keep one document in a file".to_owned()
        }
        other => first_line(&other.to_string()),
    }
}

fn list(names: &[&str]) -> String {
    let quoted = names.iter().map(|name| format!("`{name}`"));
    quoted.collect::<Vec<_>>().join(", ")
}

/// Returns the parser's message without its location, which the fault states already.
fn first_line(text: &str) -> String {
    let line = text.lines().next().unwrap_or("not readable as YAML");
    let end = line.rfind(" at line ").unwrap_or(line.len());
    format!("{}; correct the YAML", &line[..end])
}
