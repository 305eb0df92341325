//! Compression of values, and of the differences between them, by Zstandard.

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;
use zstd_safe::CCtx;
use zstd_safe::CParameter;
use zstd_safe::DCtx;
use zstd_safe::DParameter;

use crate::decide::transfer::EncodedValue;
use crate::decide::transfer::EncodingId;
use crate::decide::transfer::LargeValue;
use crate::decide::transfer::MAX_VALUE_BYTES;
use crate::decide::transfer::ValueId;
use crate::error::Error;
use crate::error::ErrorKind;
use crate::error::Result;

const COMPRESSION_LEVEL: i32 = 1;
/// Logarithm of the window, which has to reach back over the base as well.
const MAX_WINDOW_LOG: u32 = (2 * MAX_VALUE_BYTES).ilog2();
const MIN_WINDOW_LOG: u32 = 16;

/// Encodes a value, as the difference from `base` if that is given.
///
/// # Errors
///
/// `Internal` if it can't be compressed.
pub fn encode_value(value: &[u8], base: Option<(ValueId, &[u8])>) -> Result<EncodedValue> {
    let fail = |code| error(ErrorKind::Internal, code);
    let reach = value.len() + base.map_or(0, |(_, bytes)| bytes.len());
    let window_log = reach.next_power_of_two().ilog2().clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG);
    let mut cx = CCtx::create();
    cx.set_parameter(CParameter::CompressionLevel(COMPRESSION_LEVEL)).map_err(fail)?;
    cx.set_parameter(CParameter::WindowLog(window_log)).map_err(fail)?;
    if let Some((_, bytes)) = base {
        // Finds what both have in common also far apart.
        cx.set_parameter(CParameter::EnableLongDistanceMatching(true)).map_err(fail)?;
        cx.ref_prefix(bytes).map_err(fail)?;
    }
    let mut buf = Vec::with_capacity(zstd_safe::compress_bound(value.len()));
    cx.compress2(&mut buf, value).map_err(fail)?;
    buf.shrink_to_fit();
    let size = u32::try_from(buf.len()).unwrap_or(u32::MAX);
    let id = EncodingId { base: base.map(|(id, _)| id), size, hash: xxh3_64(&buf) };
    Ok(EncodedValue { id, bytes: buf.into() })
}

/// Decodes `encoded` to the value that it stands for.
///
/// # Errors
///
/// `Malformed` if it doesn't encode this value.
pub fn decode_value(value: LargeValue, encoded: &[u8], base: Option<&[u8]>) -> Result<Bytes> {
    let fail = |code| error(ErrorKind::Malformed, code);
    let size = value.size as usize;
    if size > MAX_VALUE_BYTES {
        return Err(Error::new(ErrorKind::Malformed, format!("value of {size} bytes")));
    }
    let mut cx = DCtx::create();
    cx.set_parameter(DParameter::WindowLogMax(MAX_WINDOW_LOG)).map_err(fail)?;
    if let Some(bytes) = base {
        cx.ref_prefix(bytes).map_err(fail)?;
    }
    let mut buf = Vec::with_capacity(size);
    cx.decompress(&mut buf, encoded).map_err(fail)?;
    if ValueId::of(&buf) != value.id {
        let detail = format!("encoding stands for another value than {}", value.id);
        return Err(Error::new(ErrorKind::Malformed, detail));
    }
    Ok(buf.into())
}

fn error(kind: ErrorKind, code: usize) -> Error {
    Error::new(
        kind,
        format!("value can't be encoded or decoded: {}", zstd_safe::get_error_name(code)),
    )
}
