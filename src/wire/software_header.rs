//! Software version of a replica as the value of a header.

use hyper::header::HeaderValue;
use percent_encoding::AsciiSet;
use percent_encoding::CONTROLS;
use percent_encoding::percent_decode;
use percent_encoding::utf8_percent_encode;

use crate::names::SoftwareVersion;

/// Bytes that are encoded: those that no header holds, those that it may lose at its ends, and the mark
/// of an encoded byte. The usual versions stay as they are.
const ENCODED: &AsciiSet = &CONTROLS.add(b' ').add(b'%');

/// Header with the software version of the replica that sends a stream.
pub const SOFTWARE_HEADER: &str = "relay-software";

/// Encodes a version as the value of [`SOFTWARE_HEADER`].
pub fn encode_software(software: &SoftwareVersion) -> HeaderValue {
    let text = utf8_percent_encode(software.as_str(), ENCODED).to_string();
    HeaderValue::try_from(text).expect("encoded text is printable ASCII")
}

/// Decodes a value of [`SOFTWARE_HEADER`].
pub fn decode_software(value: &HeaderValue) -> SoftwareVersion {
    SoftwareVersion::new(&percent_decode(value.as_bytes()).decode_utf8_lossy())
}
