//! Compressed messages inside messages between routers.

use crate::connection::peer_stream;

/// Result of packing or unpacking; the error describes what is wrong.
pub type Result<T> = std::result::Result<T, String>;

/// Bytes of the size that precedes a compressed message.
const SIZE_BYTES: usize = size_of::<u32>();

/// Encodes and compresses a message.
///
/// # Errors
///
/// When the encoded message exceeds [`peer_stream::MAX_MESSAGE_BYTES`].
pub fn pack<T: serde::Serialize>(message: &T) -> Result<Vec<u8>> {
    let encoded = peer_stream::encode(message)?;
    Ok(lz4_flex::compress_prepend_size(&encoded))
}

/// Decompresses and decodes a message.
///
/// # Errors
///
/// When the bytes are not one message of this type, or the message would exceed
/// [`peer_stream::MAX_MESSAGE_BYTES`].
pub fn unpack<T: serde::de::DeserializeOwned>(packed: &[u8]) -> Result<T> {
    let size = packed.first_chunk::<SIZE_BYTES>();
    let size = size.ok_or_else(|| "packed message has no size".to_owned())?;
    let size = usize::try_from(u32::from_le_bytes(*size)).unwrap_or(usize::MAX);
    if size > peer_stream::MAX_MESSAGE_BYTES {
        return Err(format!(
            "packed message has {size} bytes; send less at a time"
        ));
    }
    let encoded = lz4_flex::decompress_size_prepended(packed)
        .map_err(|error| format!("message cannot be unpacked: {error}"))?;
    peer_stream::decode(&encoded)
}
