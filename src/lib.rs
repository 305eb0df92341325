//! Serving layer for very many LoRA adapters on shared model engines.
//!
//! The library does the work; `tamarackleadd` (one entry instance) and
//! `tamaracklead` (the command-line tool) are thin programs over it. Each layer
//! knows only the layers listed before it:
//!
//! 1. [`names`] and [`error`]: identifiers, the error kinds and their answers;
//! 2. [`decide`]: every decision as a state machine without I/O;
//! 3. [`wire`]: the messages between processes;
//! 4. [`edge`]: clients of engines, desks, the platform and peers;
//! 5. [`daemon`], and [`relay`] with [`replica_history`], [`send_permits`] and [`transfer`]: shards of
//!    state that carry events in and actions out.

pub mod auth;
pub mod cli;
pub mod daemon;
pub mod decide;
pub mod edge;
pub mod error;
pub mod names;
pub mod relay;
pub mod replica_history;
pub mod send_permits;
pub mod settings;
pub mod telemetry;
pub mod transfer;
pub mod wire;
