//! Output of whole lines that may fail at any of them.

use std::io;
use std::io::Write;

/// Writes lines to an output that may be full, gone or take a part of them only.
#[derive(Debug)]
pub struct LineOutput<W> {
    output: W,
    /// Whether the last byte that the output took ends no line.
    is_within_line: bool,
}

impl<W: Write> LineOutput<W> {
    /// An output that is at the beginning of a line.
    pub fn new(output: W) -> Self {
        Self { output, is_within_line: false }
    }

    /// Writes lines, each with its end, and returns how many of them the output didn't take whole. A line
    /// that broke off is ended before the next one.
    pub fn write(&mut self, lines: &[u8]) -> usize {
        if self.is_within_line && self.write_bytes(b"\n") == 0 {
            return count_lines(lines);
        }
        let written = self.write_bytes(lines);
        count_lines(&lines[written..])
    }

    /// Writes as much as the output takes; returns the number of bytes.
    fn write_bytes(&mut self, bytes: &[u8]) -> usize {
        let mut written = 0;
        while written < bytes.len() {
            match self.output.write(&bytes[written..]) {
                Ok(0) => break,
                Ok(count) => written += count,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        if let Some(last) = bytes[..written].last() {
            self.is_within_line = *last != b'\n';
        }
        written
    }
}

fn count_lines(text: &[u8]) -> usize {
    text.iter().filter(|byte| **byte == b'\n').count()
}
