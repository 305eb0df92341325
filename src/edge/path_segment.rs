//! Segments of paths that are names from outside.

use std::fmt;

use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;

/// Bytes that are encoded.
const ENCODED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~').remove(b':');

/// A name as one segment of a path; what would end the segment or the path is percent-encoded.
#[derive(Clone, Copy, Debug)]
pub struct PathSegment<'a>(pub &'a str);

impl fmt::Display for PathSegment<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        utf8_percent_encode(self.0, ENCODED).fmt(f)
    }
}
