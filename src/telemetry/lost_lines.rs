//! Number of log lines that are in no log.

/// Log lines that were lost since the process started, by the reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LostLines {
    /// Dropped as more lines waited to be written than there is room for: the output takes them slowly, or
    /// nobody reads it.
    pub dropped: usize,
    /// Not taken by the output: it is full, has reached the limit on the size of files, or is gone.
    pub unwritten: usize,
}

impl LostLines {
    /// Lines lost for any reason.
    pub fn total(self) -> usize {
        self.dropped + self.unwritten
    }
}
