//! Splits the configuration that operators write into rows, so that routers can compare it row by
//! row, and joins the rows again.
//!
//! Each member of a list is a row, and so is each other field. Members of a list are joined in the
//! order of their names, as their order has no meaning.

use std::collections;

use serde_json::value;

/// Result of splitting a configuration.
pub type Result<T> = std::result::Result<T, serde_json::Error>;

/// Ends the field name in the key of a list or of its member. An encoded field name has none.
const LIST_MARK: char = '\n';

/// The part of a list's member that its key is derived from.
#[derive(Debug, Default)]
#[derive(serde::Deserialize)]
struct NamedWire {
    #[serde(default)]
    name: String,
}

/// A field while its rows are joined.
#[derive(Debug, Default)]
struct JoinedField<'a> {
    value: &'a [u8],
    is_list: bool,
    members: Vec<(&'a str, &'a [u8])>,
}

/// Splits a configuration into rows with unique keys.
///
/// # Errors
/// The JSON error if `value` is not an object.
pub fn split(value: &[u8]) -> Result<Vec<(String, Vec<u8>)>> {
    let fields: collections::BTreeMap<String, &value::RawValue> = serde_json::from_slice(value)?;
    let mut rows = Vec::new();
    for (field, raw) in fields {
        let field = serde_json::to_string(&field)?;
        let members: Result<Vec<&value::RawValue>> = serde_json::from_str(raw.get());
        let Ok(members) = members else {
            rows.push((field, raw.get().as_bytes().to_vec()));
            continue;
        };
        // Keeps a list without members, which is not the same as no list.
        rows.push((format!("{field}{LIST_MARK}"), Vec::new()));
        let mut counts: collections::HashMap<String, u32> = collections::HashMap::new();
        for member in members {
            let named: NamedWire = serde_json::from_str(member.get()).unwrap_or_default();
            let key = format!("{field}{LIST_MARK}{}{LIST_MARK}", named.name);
            let count = counts.entry(named.name).or_default();
            rows.push((format!("{key}{count}"), member.get().as_bytes().to_vec()));
            *count += 1;
        }
    }
    Ok(rows)
}

/// Joins rows in any order to the configuration that they were split from.
pub fn join<'a>(rows: impl Iterator<Item = (&'a str, &'a [u8])>) -> Vec<u8> {
    let mut fields: collections::BTreeMap<&str, JoinedField<'_>> = collections::BTreeMap::new();
    for (key, value) in rows {
        let Some((field, member)) = key.split_once(LIST_MARK) else {
            fields.entry(key).or_default().value = value;
            continue;
        };
        let joined = fields.entry(field).or_default();
        joined.is_list = true;
        if !member.is_empty() {
            joined.members.push((member, value));
        }
    }
    let mut text = vec![b'{'];
    for (index, (field, mut joined)) in fields.into_iter().enumerate() {
        if index > 0 {
            text.push(b',');
        }
        text.extend_from_slice(field.as_bytes());
        text.push(b':');
        if !joined.is_list {
            text.extend_from_slice(joined.value);
            continue;
        }
        joined.members.sort_unstable();
        let members: Vec<&[u8]> = joined.members.iter().map(|(_key, value)| *value).collect();
        text.push(b'[');
        text.extend_from_slice(&members.join(&b','));
        text.push(b']');
    }
    text.push(b'}');
    text
}
