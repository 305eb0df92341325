//! How a replica's response is framed: where its body ends, and whether its connection may be used
//! again.

use std::time::Duration;

use hyper::header;
use hyper::http::response;

/// Whether a response has a length or chunks, so that its end is told from a closed connection.
pub fn has_marked_end(head: &response::Parts) -> bool {
    match head.headers.get_all(header::TRANSFER_ENCODING).iter().next_back() {
        Some(codings) => codings.as_bytes().to_ascii_lowercase().ends_with(b"chunked"),
        None => head.headers.contains_key(header::CONTENT_LENGTH),
    }
}

/// Time for which a connection may be reused after a response; `None` if the replica closes it.
pub fn keep_alive_time(head: &response::Parts) -> Option<Duration> {
    let closes = head
        .headers
        .get_all(header::CONNECTION)
        .iter()
        .any(|value| value.as_bytes().to_ascii_lowercase().windows(5).any(|w| w == b"close"));
    if closes {
        return None;
    }
    let named = head.headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = named
        .and_then(|text| text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|text| text.trim().parse::<u64>().ok());
    Some(match seconds {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(Duration::from_millis(500)),
        None => Duration::MAX,
    })
}
