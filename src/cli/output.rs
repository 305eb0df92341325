//! Writer of reports, as text or as JSON.

use std::io;
use std::io::Write;

use serde::Serialize;

use super::Table;

/// Writer of reports, as text or as JSON.
pub(super) struct Output<'a> {
    out: &'a mut dyn Write,
    json: bool,
    width: usize,
}

impl<'a> Output<'a> {
    /// Writes to `out`; `width` is the widest table line, in characters.
    pub(super) fn new(out: &'a mut dyn Write, json: bool, width: usize) -> Self {
        Self { out, json, width }
    }

    /// Writes one report, as pretty-printed JSON or by `text`.
    pub(super) fn write_report<T: Serialize>(
        &mut self,
        report: &T,
        text: impl FnOnce(&T, &mut Self) -> io::Result<()>,
    ) -> io::Result<()> {
        if self.json {
            serde_json::to_writer_pretty(&mut *self.out, report)?;
            return writeln!(self.out);
        }
        text(report, self)
    }

    /// Whether reports are written as JSON.
    pub(super) fn is_json(&self) -> bool {
        self.json
    }

    /// Writes text without a line end and flushes it.
    pub(super) fn write_chunk(&mut self, text: &str) -> io::Result<()> {
        self.write_bytes(text.as_bytes())
    }

    /// Writes bytes unchanged and flushes them.
    pub(super) fn write_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.out.write_all(bytes)?;
        self.out.flush()
    }

    /// Writes one message as a line of JSON and flushes it.
    pub(super) fn write_json_line<T: Serialize>(&mut self, message: &T) -> io::Result<()> {
        serde_json::to_writer(&mut *self.out, message)?;
        writeln!(self.out)?;
        self.out.flush()
    }

    /// Writes one line of text.
    pub(super) fn write_line(&mut self, line: impl AsRef<str>) -> io::Result<()> {
        writeln!(self.out, "{}", line.as_ref())
    }

    /// Writes a table, truncated to the width of the terminal.
    pub(super) fn write_table(&mut self, table: &Table) -> io::Result<()> {
        write!(self.out, "{}", table.render(self.width))
    }
}
