//! Comparison of two sets of declarations, item by item.

use std::collections;
use std::fmt;

use crate::version::declaration;

/// Kind of a declared item, in output order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ItemKind {
    /// A service.
    Service,
    /// An endpoint of a service.
    Endpoint,
    /// A workspace.
    Workspace,
    /// A route.
    Route,
}

impl fmt::Display for ItemKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::Service => "service",
            Self::Endpoint => "endpoint",
            Self::Workspace => "workspace",
            Self::Route => "route",
        };
        f.write_str(name)
    }
}

/// Change of a declared item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemChange {
    /// The item is only in the new set.
    Added,
    /// The item is only in the old set.
    Removed,
    /// Fields of the item differ.
    Changed(Vec<FieldChange>),
}

/// A field whose value differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldChange {
    /// Field name.
    pub field: String,
    /// Old value as JSON; `null` if absent.
    pub before: String,
    /// New value as JSON; `null` if absent.
    pub after: String,
}

/// A difference between two sets of declarations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclarationChange {
    /// Kind of the item.
    pub kind: ItemKind,
    /// Name of the item; for a route, its target and workspaces.
    pub name: String,
    /// Whether the item was added, removed or changed.
    pub change: ItemChange,
}

impl fmt::Display for DeclarationChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { kind, name, change } = self;
        match change {
            ItemChange::Added => write!(f, "+ {kind} {name}"),
            ItemChange::Removed => write!(f, "- {kind} {name}"),
            ItemChange::Changed(fields) => {
                let fields: Vec<_> = fields.iter().map(ToString::to_string).collect();
                write!(f, "~ {kind} {name}: {}", fields.join(", "))
            }
        }
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} -> {}", self.field, self.before, self.after)
    }
}

type ItemMap = collections::BTreeMap<(ItemKind, String), FieldMap>;
type FieldMap = serde_json::Map<String, serde_json::Value>;

/// Returns the differences from `before` to `after`, sorted by kind and name; empty if equal.
#[must_use]
pub fn compare(
    before: &declaration::DeclaredSet,
    after: &declaration::DeclaredSet,
) -> Vec<DeclarationChange> {
    let before = collect_items(before);
    let after = collect_items(after);
    let mut keys: Vec<_> = before.keys().chain(after.keys()).collect();
    keys.sort();
    keys.dedup();
    let changes = keys.into_iter().filter_map(|key| {
        let change = compare_item(before.get(key), after.get(key))?;
        Some(DeclarationChange {
            kind: key.0,
            name: key.1.clone(),
            change,
        })
    });
    changes.collect()
}

fn compare_item(before: Option<&FieldMap>, after: Option<&FieldMap>) -> Option<ItemChange> {
    let (before, after) = match (before, after) {
        (None, None) => return None,
        (None, Some(_)) => return Some(ItemChange::Added),
        (Some(_), None) => return Some(ItemChange::Removed),
        (Some(before), Some(after)) => (before, after),
    };
    let mut fields: Vec<_> = before.keys().chain(after.keys()).collect();
    fields.sort();
    fields.dedup();
    let changed = fields.into_iter().filter_map(|field| {
        let before = before.get(field).unwrap_or(&serde_json::Value::Null);
        let after = after.get(field).unwrap_or(&serde_json::Value::Null);
        (before != after).then(|| FieldChange {
            field: field.clone(),
            before: before.to_string(),
            after: after.to_string(),
        })
    });
    let changed: Vec<_> = changed.collect();
    (!changed.is_empty()).then_some(ItemChange::Changed(changed))
}

fn collect_items(set: &declaration::DeclaredSet) -> ItemMap {
    let mut items = ItemMap::new();
    for service in &set.services {
        let mut fields = to_fields(service);
        // Endpoints are compared as separate items.
        fields.remove("endpoints");
        items.insert((ItemKind::Service, service.name.clone()), fields);
        for endpoint in &service.endpoints {
            let mut fields = to_fields(endpoint);
            fields.insert("service".to_owned(), service.name.clone().into());
            items.insert((ItemKind::Endpoint, endpoint.name.clone()), fields);
        }
    }
    for workspace in &set.workspaces {
        let key = (ItemKind::Workspace, workspace.name.clone());
        items.insert(key, to_fields(workspace));
    }
    for route in &set.routes {
        let key = (ItemKind::Route, route_name(route));
        items.insert(key, to_fields(route));
    }
    items
}

fn to_fields<T: serde::Serialize>(item: &T) -> FieldMap {
    match serde_json::to_value(item) {
        Ok(serde_json::Value::Object(fields)) => fields,
        _ => FieldMap::new(),
    }
}

/// Returns a name that identifies a route: its model or path, and the workspaces it is limited to.
fn route_name(route: &declaration::DeclaredRoute) -> String {
    let target = match (&route.model, &route.path) {
        (Some(model), _) => format!("model {model}"),
        (None, Some(path)) => format!("/s/{}{path}", route.service),
        (None, None) => route.service.clone(),
    };
    if route.workspaces.is_empty() {
        return target;
    }
    let mut workspaces = route.workspaces.clone();
    workspaces.sort();
    format!("{target} for {}", workspaces.join(", "))
}
