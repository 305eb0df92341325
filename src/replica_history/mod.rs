//! Reads from the store's history which replicas left before this process followed them.

mod history_reader;

pub use history_reader::HistoryReader;
pub use history_reader::ReadHistory;
