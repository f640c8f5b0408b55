//! Reads and validates a settings file, reporting all errors together.

use std::fmt;
use std::fs;
use std::net;
use std::ops;
use std::path;

use serde::de;

use crate::process::setup::settings;
use crate::process::setup::settings_tree;

/// Maximum length of a router or availability zone name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

const ADDRESS_RULE: &str = "an IP address and port, such as 10.0.0.7:8080";
const NAME_RULE: &str = "1 to 63 lower-case letters, digits and hyphens, such as r1";
const KEEP_MS_BOUNDS: ops::RangeInclusive<u64> = 100..=600_000;
const DRAIN_MS_BOUNDS: ops::RangeInclusive<u64> = 0..=3_600_000;
const IDLE_MS_BOUNDS: ops::RangeInclusive<u64> = 1_000..=3_600_000;
const BODY_BYTES_BOUNDS: ops::RangeInclusive<usize> = 1_024..=1_073_741_824;
/// The lower bound is twice the smallest `max_body_bytes`; [`FieldReader::caller_memory`] applies the actual one.
const CALLER_MEMORY_BOUNDS: ops::RangeInclusive<usize> = 2_048..=1_099_511_627_776;
const CONNECTION_BOUNDS: ops::RangeInclusive<usize> = 1..=1_000_000;

/// Reads and validates a settings file.
///
/// # Errors
/// Returns every error found, in file order.
pub fn load(file: &path::Path) -> settings::Result<settings::RouterSettings> {
    let mut reader = FieldReader::new(file);
    let text = fs::read_to_string(file)
        .map_err(|error| reader.file_fault(0, format!("cannot be read: {error}")))?;
    let node = settings_tree::parse(&text)
        .map_err(|fault| reader.file_fault(fault.line, fault.message))?;
    let settings_tree::YamlValue::Fields(fields) = node.value else {
        return Err(reader.file_fault(node.line, EMPTY_MESSAGE.to_owned()));
    };
    reader.open(fields);
    let settings = read_settings(&mut reader);
    reader.close();
    match settings {
        Some(settings) if reader.faults.is_empty() => Ok(settings),
        _ => Err(reader.into_faults()),
    }
}

const EMPTY_MESSAGE: &str = "must hold fields; write one field a line, such as router: r1";

fn read_settings(reader: &mut FieldReader) -> Option<settings::RouterSettings> {
    let router = reader.name("router");
    let zone = reader.name("zone");
    let listen = reader.listen_address("listen");
    let peer_listen = reader.listen_address("peer_listen");
    let admin_listen = reader.listen_address("admin_listen");
    reader.distinct_addresses(&[listen, peer_listen, admin_listen]);
    let platform = reader.required::<net::SocketAddr>("platform", ADDRESS_RULE);
    let seeds = reader.addresses("seeds");
    let log = reader.log();
    let statsd = reader.optional("statsd", ADDRESS_RULE);
    let address_keep_ms = reader.bounded("address_keep_ms", "milliseconds", KEEP_MS_BOUNDS);
    let drain_timeout_ms = reader.bounded("drain_timeout_ms", "milliseconds", DRAIN_MS_BOUNDS);
    let max_body_bytes = reader.bounded("max_body_bytes", "bytes", BODY_BYTES_BOUNDS);
    let max_body_bytes = max_body_bytes.unwrap_or(settings::DEFAULT_MAX_BODY_BYTES);
    let caller_memory_bytes = reader.caller_memory(max_body_bytes);
    let max_connections = reader.bounded("max_connections", "connections", CONNECTION_BOUNDS);
    let idle_timeout_ms = reader.bounded("idle_timeout_ms", "milliseconds", IDLE_MS_BOUNDS);
    Some(settings::RouterSettings {
        router: router?,
        zone: zone?,
        listen: listen.address?,
        peer_listen: peer_listen.address?,
        admin_listen: admin_listen.address?,
        platform: platform?.to_string(),
        seeds,
        log,
        statsd,
        address_keep_ms: address_keep_ms.unwrap_or(settings::DEFAULT_ADDRESS_KEEP_MS),
        drain_timeout_ms: drain_timeout_ms.unwrap_or(settings::DEFAULT_DRAIN_TIMEOUT_MS),
        max_body_bytes,
        caller_memory_bytes,
        max_connections: max_connections.unwrap_or(settings::DEFAULT_MAX_CONNECTIONS),
        idle_timeout_ms: idle_timeout_ms.unwrap_or(settings::DEFAULT_IDLE_TIMEOUT_MS),
    })
}

/// A listen address with its field name and line; `address` is `None` when invalid.
#[derive(Clone, Copy, Debug)]
struct ListenField {
    name: &'static str,
    line: u64,
    address: Option<net::SocketAddr>,
}

/// Removes known fields from a mapping one by one; fields left at the end are unknown.
#[derive(Debug)]
struct FieldReader {
    file: path::PathBuf,
    prefix: &'static str,
    fields: Vec<settings_tree::YamlField>,
    known: Vec<&'static str>,
    faults: Vec<settings::SettingsFault>,
}

impl FieldReader {
    fn new(file: &path::Path) -> Self {
        Self {
            file: file.to_owned(),
            prefix: "",
            fields: Vec::new(),
            known: Vec::new(),
            faults: Vec::new(),
        }
    }

    fn open(&mut self, fields: Vec<settings_tree::YamlField>) {
        self.fields = fields;
        self.known.clear();
    }

    /// Reports the remaining fields as unknown.
    fn close(&mut self) {
        let allowed = self.known.join(", ");
        for field in std::mem::take(&mut self.fields) {
            let message = format!("is not a field; use one of {allowed}");
            self.fault(field.line, &field.name, message);
        }
    }

    /// Returns all errors in file order, missing fields first.
    fn into_faults(mut self) -> Vec<settings::SettingsFault> {
        self.faults.sort_by_key(|fault| fault.line);
        self.faults
    }

    fn file_fault(&self, line: u64, message: String) -> Vec<settings::SettingsFault> {
        vec![settings::SettingsFault {
            file: self.file.clone(),
            line,
            field: String::new(),
            message,
        }]
    }

    fn fault(&mut self, line: u64, name: &str, message: String) {
        self.faults.push(settings::SettingsFault {
            file: self.file.clone(),
            line,
            field: format!("{}{name}", self.prefix),
            message,
        });
    }

    /// Removes and returns the field `name`; reports duplicates as errors.
    fn take(&mut self, name: &'static str) -> Option<settings_tree::YamlNode> {
        self.known.push(name);
        let mut taken = None;
        for field in std::mem::take(&mut self.fields) {
            if field.name != name {
                self.fields.push(field);
            } else if taken.is_none() {
                taken = Some(field.node);
            } else {
                let message = "is given twice; keep one of the two lines".to_owned();
                self.fault(field.line, name, message);
            }
        }
        taken
    }

    fn optional<T: de::DeserializeOwned>(&mut self, name: &'static str, rule: &str) -> Option<T> {
        let node = self.take(name)?;
        self.scalar(name, node, rule)
    }

    fn required<T: de::DeserializeOwned>(&mut self, name: &'static str, rule: &str) -> Option<T> {
        let Some(node) = self.take(name) else {
            self.fault(0, name, format!("is missing; add {rule}"));
            return None;
        };
        self.scalar(name, node, rule)
    }

    fn scalar<T: de::DeserializeOwned>(
        &mut self,
        name: &str,
        node: settings_tree::YamlNode,
        rule: &str,
    ) -> Option<T> {
        let parsed = match node.value {
            settings_tree::YamlValue::Scalar(value) => serde_json::from_value(value).ok(),
            settings_tree::YamlValue::List(_) | settings_tree::YamlValue::Fields(_) => None,
        };
        if parsed.is_none() {
            self.fault(node.line, name, format!("must be {rule}"));
        }
        parsed
    }

    fn name(&mut self, name: &'static str) -> Option<String> {
        let line = self.line_of(name);
        let text = self.required::<String>(name, NAME_RULE)?;
        if is_name(&text) {
            return Some(text);
        }
        self.fault(line, name, format!("must be {NAME_RULE}"));
        None
    }

    fn listen_address(&mut self, name: &'static str) -> ListenField {
        let line = self.line_of(name);
        let parsed = self.required::<net::SocketAddr>(name, ADDRESS_RULE);
        let address = parsed.filter(|address| self.is_reachable(line, name, *address));
        ListenField {
            name,
            line,
            address,
        }
    }

    fn is_reachable(&mut self, line: u64, name: &str, address: net::SocketAddr) -> bool {
        let message = if address.ip().is_unspecified() {
            "must be an address that others can reach; give the VM's own IP address"
        } else if address.port() == 0 {
            "must have a port that others can know; use 1 to 65535"
        } else {
            return true;
        };
        self.fault(line, name, message.to_owned());
        false
    }

    fn distinct_addresses(&mut self, named: &[ListenField]) {
        for (index, field) in named.iter().enumerate() {
            let Some(address) = field.address else {
                continue;
            };
            let same = |other: &&ListenField| other.address == Some(address);
            if let Some(earlier) = named[..index].iter().find(same) {
                let message = format!("is the same address as {}; use another port", earlier.name);
                self.fault(field.line, field.name, message);
            }
        }
    }

    fn addresses(&mut self, name: &'static str) -> Vec<String> {
        let Some(node) = self.take(name) else {
            return Vec::new();
        };
        let settings_tree::YamlValue::List(nodes) = node.value else {
            self.fault(
                node.line,
                name,
                format!("must be a list, each {ADDRESS_RULE}"),
            );
            return Vec::new();
        };
        let mut addresses = Vec::new();
        for (index, node) in nodes.into_iter().enumerate() {
            let item = format!("{name}[{index}]");
            let address = self.scalar::<net::SocketAddr>(&item, node, ADDRESS_RULE);
            addresses.extend(address.map(|address| address.to_string()));
        }
        addresses
    }

    fn bounded<T>(
        &mut self,
        name: &'static str,
        unit: &str,
        bounds: ops::RangeInclusive<T>,
    ) -> Option<T>
    where
        T: de::DeserializeOwned + PartialOrd + fmt::Display,
    {
        let line = self.line_of(name);
        let rule = format!("{} to {} {unit}", bounds.start(), bounds.end());
        let number = self.optional::<T>(name, &rule)?;
        if bounds.contains(&number) {
            return Some(number);
        }
        self.fault(line, name, format!("must be {rule}"));
        None
    }

    /// Reads `caller_memory_bytes`, whose lower bound and default follow from `max_body_bytes`.
    fn caller_memory(&mut self, max_body_bytes: usize) -> usize {
        const FIELD: &str = "caller_memory_bytes";
        let least = settings::min_caller_memory(max_body_bytes);
        let default = settings::DEFAULT_CALLER_MEMORY_BYTES.max(least);
        let line = self.line_of(FIELD);
        let Some(bytes) = self.bounded(FIELD, "bytes", CALLER_MEMORY_BOUNDS) else {
            return default;
        };
        if bytes < least {
            let message = format!("must be at least {least} bytes, twice max_body_bytes; raise it");
            self.fault(line, FIELD, message);
        }
        bytes
    }

    fn log(&mut self) -> settings::LogSettings {
        const LOG_RULE: &str = "a mapping with the fields format and level";
        let Some(node) = self.take("log") else {
            return settings::LogSettings::default();
        };
        let settings_tree::YamlValue::Fields(fields) = node.value else {
            self.fault(node.line, "log", format!("must be {LOG_RULE}"));
            return settings::LogSettings::default();
        };
        let mut inner = Self::new(&self.file);
        inner.prefix = "log.";
        inner.open(fields);
        let format = inner.optional("format", "text or json");
        let level = inner.optional("level", "error, warn, info or debug");
        inner.close();
        self.faults.append(&mut inner.faults);
        settings::LogSettings {
            format: format.unwrap_or_default(),
            level: level.unwrap_or_default(),
        }
    }

    fn line_of(&self, name: &str) -> u64 {
        let field = self.fields.iter().find(|field| field.name == name);
        field.map_or(0, |field| field.line)
    }
}

/// Returns whether `text` is a valid router or availability zone name.
fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let edge = |byte: Option<u8>| byte.is_some_and(|byte| byte != b'-');
    let bytes = text.as_bytes();
    bytes.len() <= MAX_NAME_BYTES
        && edge(bytes.first().copied())
        && edge(bytes.last().copied())
        && bytes.iter().copied().all(allowed)
}
