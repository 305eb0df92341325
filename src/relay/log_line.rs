//! Encoding of log events as JSON lines of bounded length.
//!
//! Events hold paths, keys and errors of others, which may be as long as a request or an item of the store.

use serde::Serialize;
use serde_json::Value;

/// Longest line whose fields stay as they are, in bytes.
const MAX_LINE_BYTES: usize = 16 * 1024;
/// Longest text of a longer line, in characters.
const MAX_TEXT_CHARS: usize = 512;
/// Most entries of a list in a longer line.
const MAX_LIST_ENTRIES: usize = 16;
/// Marks a text that was cut.
const CUT_MARK: char = '…';

/// Encodes an event; texts and lists of a long one are cut.
///
/// # Errors
///
/// The event can't be encoded as JSON.
pub fn encode<E: Serialize>(event: &E) -> serde_json::Result<String> {
    let line = serde_json::to_string(event)?;
    if line.len() <= MAX_LINE_BYTES {
        return Ok(line);
    }
    let mut value = serde_json::from_str(&line)?;
    shorten(&mut value);
    serde_json::to_string(&value)
}

fn shorten(value: &mut Value) {
    match value {
        Value::String(text) => {
            if let Some((end, _)) = text.char_indices().nth(MAX_TEXT_CHARS) {
                text.truncate(end);
                text.push(CUT_MARK);
            }
        }
        Value::Array(entries) => {
            entries.truncate(MAX_LIST_ENTRIES);
            entries.iter_mut().for_each(shorten);
        }
        Value::Object(fields) => fields.values_mut().for_each(shorten),
        Value::Null | Value::Bool(_) | Value::Number(_) => {}
    }
}
