//! What requests may have in common that crashes the endpoints which run them.

use std::fmt;

use xxhash_rust::xxh3;

/// Bits that mark the fingerprint of a whole request. The ID of a prompt part may have them too, by
/// chance; it then takes more crashes to suspect it.
const WHOLE_MARK: u64 = 0x5f1d << WHOLE_HASH_BITS;

/// Bits of the hash in a fingerprint.
const WHOLE_HASH_BITS: u32 = 48;

/// Identifies a part of a prompt by the ID that callers give it, or a whole request by a hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestFeature(pub u64);

/// The content of a request that an endpoint works on.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Workspace or, on routes that need no key, the key that the caller sent; `None` without one.
    pub caller: Option<&'a str>,
    /// Method of the request.
    pub method: &'a str,
    /// Host that the request is addressed to.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Parts of the body without transfer encoding.
    pub body: &'a [&'a [u8]],
}

impl RequestFeature {
    /// Parses the hexadecimal ID of a prompt part. An ID that is not a 64-bit number is hashed, so
    /// that it is compared as text.
    #[must_use]
    pub fn part(id: &str) -> Self {
        let number = u64::from_str_radix(id, 16);
        Self(number.unwrap_or_else(|_not_a_number| xxh3::xxh3_64(id.as_bytes())))
    }

    /// Fingerprint of a whole request, the same for all requests with this content.
    #[must_use]
    pub fn whole(content: &RequestContent<'_>) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        hasher.update(&[u8::from(content.caller.is_some())]);
        let host = content.host.to_ascii_lowercase();
        let fields = [
            content.caller.unwrap_or_default().as_bytes(),
            content.method.as_bytes(),
            host.as_bytes(),
            content.target.as_bytes(),
        ];
        for field in fields {
            // The length keeps the end of one field from being taken for the start of the next.
            hasher.update(&(field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        let length: usize = content.body.iter().map(|part| part.len()).sum();
        hasher.update(&(length as u64).to_be_bytes());
        for part in content.body {
            hasher.update(part);
        }
        Self(WHOLE_MARK | (hasher.digest() >> (u64::BITS - WHOLE_HASH_BITS)))
    }

    /// Whether this is the fingerprint of a whole request.
    #[must_use]
    pub const fn is_whole(self) -> bool {
        self.0 >> WHOLE_HASH_BITS == WHOLE_MARK >> WHOLE_HASH_BITS
    }
}

impl fmt::Display for RequestFeature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Formats features for a log line, separated by commas.
#[must_use]
pub fn join(features: &[RequestFeature]) -> String {
    let features: Vec<String> = features.iter().map(RequestFeature::to_string).collect();
    features.join(",")
}
