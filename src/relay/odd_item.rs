//! Items of the published state that can't be read, or not in full.

use super::DecodeError;
use crate::decide::traffic::PublishedItem;

/// Longest name of one in the log, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// Longest reason in the log, in bytes; it may quote the item.
const MAX_DETAIL_BYTES: usize = 300;

/// An item that can't be read in full.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OddItem {
    /// Its key; `None` if that can't be read, or isn't text.
    pub key: Option<String>,
    /// Its name in the log: the key, shortened, or its place in the page.
    pub name: String,
    /// What can't be read.
    pub detail: String,
}

impl OddItem {
    /// The item with this key, at this place of its page.
    pub fn new(key: Option<&[u8]>, place: usize, detail: &str) -> Self {
        let name = match key {
            Some(key) => shorten(&String::from_utf8_lossy(key), MAX_NAME_BYTES),
            None => format!("item {place}"),
        };
        let key = key.and_then(|key| std::str::from_utf8(key).ok()).map(str::to_owned);
        Self { key, name, detail: shorten(detail, MAX_DETAIL_BYTES) }
    }

    /// The item, whose value is nothing that its key stands for.
    pub fn undecodable(item: &PublishedItem, error: &DecodeError) -> Self {
        Self::new(Some(item.key.as_bytes()), 0, &error.to_string())
    }
}

/// The beginning of a text, of this many bytes at most.
fn shorten(text: &str, max_bytes: usize) -> String {
    let chars = text.char_indices().take_while(|(at, c)| at + c.len_utf8() <= max_bytes);
    chars.map(|(_, c)| c).collect()
}
