//! YAML values with line numbers, so that all errors in a file can be reported together.

use std::fmt;

use serde::de;

/// Result of parsing YAML text.
pub type Result<T> = std::result::Result<T, SyntaxFault>;

/// YAML syntax error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyntaxFault {
    /// Line number of the error, starting at 1.
    pub line: u64,
    /// First line of the parser's error message.
    pub message: String,
}

/// A YAML value with its position.
#[derive(Clone, Debug)]
pub struct YamlNode {
    /// Line number where the value starts, from 1.
    pub line: u64,
    /// Parsed value.
    pub value: YamlValue,
}

/// A scalar, sequence or mapping.
#[derive(Clone, Debug)]
pub enum YamlValue {
    /// A string, number, boolean or null.
    Scalar(serde_json::Value),
    /// A sequence.
    List(Vec<YamlNode>),
    /// A mapping in file order; duplicate keys are kept.
    Fields(Vec<YamlField>),
}

/// One entry of a mapping.
#[derive(Clone, Debug)]
pub struct YamlField {
    /// Mapping key.
    pub name: String,
    /// Line number of the key, starting at 1.
    pub line: u64,
    /// Value with its own position.
    pub node: YamlNode,
}

/// Parses a single YAML document.
///
/// # Errors
/// Returns [`SyntaxFault`] with the line at which parsing stopped.
pub fn parse(text: &str) -> Result<YamlNode> {
    let options = serde_saphyr::options! {
        duplicate_keys: serde_saphyr::DuplicateKeyPolicy::PassThrough,
        merge_keys: serde_saphyr::MergeKeyPolicy::AsOrdinary,
        strict_booleans: true,
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|error| SyntaxFault {
        line: error.location().map_or(1, |location| location.line()),
        message: first_line(&error),
    })
}

fn first_line(error: &serde_saphyr::Error) -> String {
    let message = error.without_snippet().to_string();
    message.lines().next().unwrap_or_default().to_owned()
}

impl<'de> de::Deserialize<'de> for YamlNode {
    fn deserialize<D: de::Deserializer<'de>>(
        deserializer: D,
    ) -> std::result::Result<Self, D::Error> {
        let spanned = serde_saphyr::Spanned::<YamlValue>::deserialize(deserializer)?;
        Ok(Self {
            line: spanned.referenced.line(),
            value: spanned.value,
        })
    }
}

impl<'de> de::Deserialize<'de> for YamlValue {
    fn deserialize<D: de::Deserializer<'de>>(
        deserializer: D,
    ) -> std::result::Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> de::Visitor<'de> for ValueVisitor {
    type Value = YamlValue;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a YAML value")
    }

    fn visit_bool<E>(self, v: bool) -> std::result::Result<YamlValue, E> {
        Ok(YamlValue::Scalar(v.into()))
    }

    fn visit_i64<E>(self, v: i64) -> std::result::Result<YamlValue, E> {
        Ok(YamlValue::Scalar(v.into()))
    }

    fn visit_u64<E>(self, v: u64) -> std::result::Result<YamlValue, E> {
        Ok(YamlValue::Scalar(v.into()))
    }

    fn visit_f64<E>(self, v: f64) -> std::result::Result<YamlValue, E> {
        Ok(YamlValue::Scalar(v.into()))
    }

    fn visit_str<E>(self, v: &str) -> std::result::Result<YamlValue, E> {
        Ok(YamlValue::Scalar(v.into()))
    }

    fn visit_unit<E>(self) -> std::result::Result<YamlValue, E> {
        Ok(YamlValue::Scalar(serde_json::Value::Null))
    }

    fn visit_none<E>(self) -> std::result::Result<YamlValue, E> {
        Ok(YamlValue::Scalar(serde_json::Value::Null))
    }

    fn visit_some<D: de::Deserializer<'de>>(
        self,
        deserializer: D,
    ) -> std::result::Result<YamlValue, D::Error> {
        deserializer.deserialize_any(self)
    }

    fn visit_seq<A: de::SeqAccess<'de>>(
        self,
        mut seq: A,
    ) -> std::result::Result<YamlValue, A::Error> {
        let mut nodes = Vec::new();
        while let Some(node) = seq.next_element()? {
            nodes.push(node);
        }
        Ok(YamlValue::List(nodes))
    }

    fn visit_map<A: de::MapAccess<'de>>(
        self,
        mut map: A,
    ) -> std::result::Result<YamlValue, A::Error> {
        let mut fields = Vec::new();
        while let Some(key) = map.next_key::<serde_saphyr::Spanned<String>>()? {
            let node = map.next_value()?;
            fields.push(YamlField {
                name: key.value,
                line: key.referenced.line(),
                node,
            });
        }
        Ok(YamlValue::Fields(fields))
    }
}
