//! YAML values with their lines, so that every fault of a file can be told at once.

use std::fmt;

use serde::de;

/// Outcome of parsing YAML text.
pub type Result<T> = std::result::Result<T, SyntaxFault>;

/// The text is not YAML.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyntaxFault {
    /// Line of the fault, from 1.
    pub line: u64,
    /// What the parser reported.
    pub message: String,
}

/// A value and the line on which it starts, from 1.
#[derive(Clone, Debug)]
pub struct YamlNode {
    /// Line, from 1.
    pub line: u64,
    /// The value.
    pub value: YamlValue,
}

/// A YAML value.
#[derive(Clone, Debug)]
pub enum YamlValue {
    /// Text, number, boolean or null.
    Scalar(serde_json::Value),
    /// A sequence.
    List(Vec<YamlNode>),
    /// A mapping in the order of the file; keys may occur twice.
    Fields(Vec<YamlField>),
}

/// One entry of a mapping.
#[derive(Clone, Debug)]
pub struct YamlField {
    /// Key.
    pub name: String,
    /// Line of the key, from 1.
    pub line: u64,
    /// Value.
    pub node: YamlNode,
}

/// Parses one YAML document.
///
/// # Errors
/// [`SyntaxFault`] with the line at which parsing stopped.
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
