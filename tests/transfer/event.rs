//! What happens at a time of the model.

use crate::message::Message;

#[derive(Clone, Debug)]
pub enum Event {
    Publish,
    Read { reader: usize, process: u32, version: usize, took: f64 },
    ReadAgain { reader: usize, process: u32 },
    Gossip(usize),
    Arrived { from: usize, to: usize, message: Message },
    Handled { from: usize, to: usize, process: u32, message: Message },
    CallTimeout { caller: usize, process: u32, call: u64, callee: usize, is_piece: bool },
    Next { instance: usize, call: u64 },
    InEffect { instance: usize, process: u32, version: usize },
    RestartAll,
}
