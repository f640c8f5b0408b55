//! Plain sentences for text that cannot be read as declarations.

use crate::version::lines;

/// Where and why a text is not readable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyntaxFault {
    /// Line, from 1.
    pub line: u64,
    /// Path of the field, or `document`.
    pub field: String,
    /// What is wrong, what is allowed and how to put it right.
    pub message: String,
}

/// Describes `error`, with the field in which it lies.
#[must_use]
pub fn describe(error: &serde_saphyr::Error, lines: &lines::FieldLines) -> SyntaxFault {
    let error = error.without_snippet();
    let location = error.location();
    let line = location.map_or(1, |location| location.line()).max(1);
    let column = location.map_or(1, |location| location.column());
    let named = named_key(error).and_then(|key| lines.key_on(line, key));
    let nearest = || lines.field_at(line, column);
    let field = match error {
        // A missing field has no place of its own; the place is that of a sibling.
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

/// The library's own sentence without its location, which the fault holds already.
fn first_line(text: &str) -> String {
    let line = text.lines().next().unwrap_or("not readable as YAML");
    let end = line.rfind(" at line ").unwrap_or(line.len());
    format!("{}; correct the YAML", &line[..end])
}
