//! Text tables that are truncated to the width of a terminal.

const COLUMN_GAP: &str = "  ";
const ELLIPSIS: char = '…';

/// Rows of text under a header row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table with these columns.
    pub fn new(header: &[&str]) -> Self {
        Self { header: header.iter().map(|&name| name.to_owned()).collect(), rows: Vec::new() }
    }

    /// Appends a row; missing cells at its end stay blank.
    pub fn push_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// The table as lines of at most `width` characters; the widest column is narrowed first.
    ///
    /// Lines are longer only if `width` has no room for a character in each column.
    pub fn render(&self, width: usize) -> String {
        let widths = self.column_widths(width);
        let mut text = String::new();
        for row in std::iter::once(&self.header).chain(&self.rows) {
            let cells: Vec<_> = row
                .iter()
                .zip(&widths)
                .map(|(cell, &width)| pad_or_truncate(cell, width))
                .collect();
            text.push_str(cells.join(COLUMN_GAP).trim_end());
            text.push('\n');
        }
        text
    }

    /// Column widths that fit, with the gaps, into `width`; each is at least 1.
    fn column_widths(&self, width: usize) -> Vec<usize> {
        let mut widths: Vec<usize> =
            (0..self.header.len()).map(|column| self.natural_width(column)).collect();
        let gaps = COLUMN_GAP.len() * widths.len().saturating_sub(1);
        let budget = width.saturating_sub(gaps).max(widths.len());
        while widths.iter().sum::<usize>() > budget {
            let Some(widest) = widths.iter_mut().max() else { break };
            *widest -= 1;
        }
        widths
    }

    fn natural_width(&self, column: usize) -> usize {
        let cells = std::iter::once(&self.header).chain(&self.rows);
        cells.filter_map(|row| row.get(column)).map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

fn pad_or_truncate(cell: &str, width: usize) -> String {
    if cell.chars().count() <= width {
        return format!("{cell:<width$}");
    }
    let mut truncated: String = cell.chars().take(width.saturating_sub(1)).collect();
    truncated.push(ELLIPSIS);
    truncated
}
