//! What instances of the model send each other.

use tamaracklead::wire::transfer::PieceReply;
use tamaracklead::wire::transfer::PieceRequest;

#[derive(Clone, Debug)]
pub enum Message {
    Digest { newest: Option<usize>, is_reply: bool },
    ChangesAsked { call: u64 },
    Changes { call: u64, newest: usize },
    PieceAsked { call: u64, request: PieceRequest },
    PieceSent { call: u64, reply: PieceReply },
}
