//! Hexadecimal text form of message authentication codes.

use std::fmt::Write;

/// Length of an HMAC-SHA256 code.
pub(super) const MAC_BYTES: usize = 32;

pub(super) fn encode(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Parses a code; `None` if its length or a digit is wrong.
pub(super) fn decode(text: &str) -> Option<[u8; MAC_BYTES]> {
    if text.len() != 2 * MAC_BYTES || !text.is_ascii() {
        return None;
    }
    let mut mac = [0; MAC_BYTES];
    for (i, byte) in mac.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(mac)
}
