//! Where reports go, as text or as JSON.

use std::io;
use std::io::Write;

use serde::Serialize;

use super::Table;

/// Where reports go.
pub(super) struct Output<'a> {
    out: &'a mut dyn Write,
    json: bool,
    width: usize,
}

impl<'a> Output<'a> {
    /// Reports to `out`.
    pub(super) fn new(out: &'a mut dyn Write, json: bool, width: usize) -> Self {
        Self { out, json, width }
    }

    /// Shows one report, as JSON or by its text.
    pub(super) fn report<T: Serialize>(
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

    /// Whether reports are JSON.
    pub(super) fn is_json(&self) -> bool {
        self.json
    }

    /// Writes text without ending the line, at once.
    pub(super) fn piece(&mut self, text: &str) -> io::Result<()> {
        self.bytes(text.as_bytes())
    }

    /// Writes bytes as they are, at once.
    pub(super) fn bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.out.write_all(bytes)?;
        self.out.flush()
    }

    /// Writes one message as a line of JSON, at once.
    pub(super) fn json_line<T: Serialize>(&mut self, message: &T) -> io::Result<()> {
        serde_json::to_writer(&mut *self.out, message)?;
        writeln!(self.out)?;
        self.out.flush()
    }

    /// Writes one line.
    pub(super) fn line(&mut self, line: impl AsRef<str>) -> io::Result<()> {
        writeln!(self.out, "{}", line.as_ref())
    }

    /// Writes a table that fits the terminal.
    pub(super) fn table(&mut self, table: &Table) -> io::Result<()> {
        write!(self.out, "{}", table.render(self.width))
    }
}
