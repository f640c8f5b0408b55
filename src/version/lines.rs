//! Positions of the fields in a YAML document, for use in error messages.

use std::collections;
use std::fmt;

use serde::de;

/// Position of a value: line and column, both starting at 1.
type TextPosition = (u64, u64);

/// Position of each field path, such as `services[0].endpoints[1].name`.
#[derive(Clone, Debug, Default)]
pub struct FieldLines {
    positions: collections::BTreeMap<String, TextPosition>,
}

impl FieldLines {
    /// Locates all fields; empty if `yaml` is not well-formed.
    #[must_use]
    pub fn read(yaml: &str) -> Self {
        // Strict parsing reports duplicate keys; here they must not prevent locating other fields.
        let options = serde_saphyr::options! {
            duplicate_keys: serde_saphyr::options::DuplicateKeyPolicy::LastWins,
            merge_keys: serde_saphyr::options::MergeKeyPolicy::AsOrdinary,
        };
        let mut lines = Self::default();
        let root = serde_saphyr::from_str_with_options::<LocatedNode>(yaml, options);
        if let Ok(root) = root {
            lines.add(String::new(), &root);
        }
        lines
    }

    /// Returns the line of the field, or of its nearest enclosing field; 1 if there is none.
    #[must_use]
    pub fn line_of(&self, field: &str) -> u64 {
        let mut path = field;
        loop {
            if let Some((line, _column)) = self.positions.get(path) {
                return *line;
            }
            let Some(end) = path.rfind(['.', '[']) else {
                return 1;
            };
            path = &path[..end];
        }
    }

    /// Returns the path of the first field that starts at or after `column` on `line`.
    #[must_use]
    pub fn field_at(&self, line: u64, column: u64) -> Option<&str> {
        let ahead = |position: &TextPosition| position.0 == line && position.1 >= column;
        let after = self
            .positions
            .iter()
            .filter(|(_path, position)| ahead(position));
        let first = after.min_by_key(|(path, position)| (position.1, path.len()));
        first.map(|(path, _place)| path.as_str())
    }

    /// Returns the path of a field named `key` that starts on `line`.
    #[must_use]
    pub fn key_on(&self, line: u64, key: &str) -> Option<&str> {
        let mut on_line = self
            .positions
            .iter()
            .filter(|(_path, position)| position.0 == line);
        let named = |path: &str| path.rsplit('.').next() == Some(key);
        let found = on_line.find(|(path, _place)| named(path));
        found.map(|(path, _place)| path.as_str())
    }

    fn add(&mut self, path: String, node: &LocatedNode) {
        match &node.value {
            NodeShape::Scalar => {}
            NodeShape::List(items) => {
                for (index, item) in items.iter().enumerate() {
                    self.add(format!("{path}[{index}]"), item);
                }
            }
            NodeShape::Map(fields) => {
                for (name, field) in fields {
                    let dot = if path.is_empty() { "" } else { "." };
                    self.add(format!("{path}{dot}{name}"), field);
                }
            }
        }
        if !path.is_empty() {
            let position = (node.referenced.line(), node.referenced.column());
            self.positions.insert(path, position);
        }
    }
}

type LocatedNode = serde_saphyr::Spanned<NodeShape>;

enum NodeShape {
    Scalar,
    List(Vec<LocatedNode>),
    Map(Vec<(String, LocatedNode)>),
}

impl<'de> de::Deserialize<'de> for NodeShape {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ShapeVisitor)
    }
}

struct ShapeVisitor;

impl<'de> de::Visitor<'de> for ShapeVisitor {
    type Value = NodeShape;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("any YAML value")
    }

    fn visit_bool<E>(self, _value: bool) -> Result<NodeShape, E> {
        Ok(NodeShape::Scalar)
    }

    fn visit_i64<E>(self, _value: i64) -> Result<NodeShape, E> {
        Ok(NodeShape::Scalar)
    }

    fn visit_i128<E>(self, _value: i128) -> Result<NodeShape, E> {
        Ok(NodeShape::Scalar)
    }

    fn visit_u64<E>(self, _value: u64) -> Result<NodeShape, E> {
        Ok(NodeShape::Scalar)
    }

    fn visit_u128<E>(self, _value: u128) -> Result<NodeShape, E> {
        Ok(NodeShape::Scalar)
    }

    fn visit_f64<E>(self, _value: f64) -> Result<NodeShape, E> {
        Ok(NodeShape::Scalar)
    }

    fn visit_str<E>(self, _value: &str) -> Result<NodeShape, E> {
        Ok(NodeShape::Scalar)
    }

    fn visit_unit<E>(self) -> Result<NodeShape, E> {
        Ok(NodeShape::Scalar)
    }

    fn visit_none<E>(self) -> Result<NodeShape, E> {
        Ok(NodeShape::Scalar)
    }

    fn visit_some<D: de::Deserializer<'de>>(self, deserializer: D) -> Result<NodeShape, D::Error> {
        deserializer.deserialize_any(Self)
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut seq: A) -> Result<NodeShape, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(NodeShape::List(items))
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<NodeShape, A::Error> {
        let mut fields = Vec::new();
        while let Some(field) = map.next_entry()? {
            fields.push(field);
        }
        Ok(NodeShape::Map(fields))
    }
}
