//! What the command line asks for.

use std::path::PathBuf;
use std::time::Duration;

use super::Access;
use super::Input;
use crate::decide::audit::SlotBudget;
use crate::decide::audit::StoreBudget;
use crate::names::Generation;
use crate::names::PresetName;
use crate::names::RequestId;
use crate::wire::caller::CompletionRequest;

/// What to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Checks a settings file.
    SettingsCheck {
        /// The file.
        file: PathBuf,
    },
    /// Checks a configuration before it is published.
    ConfigCheck {
        /// Directory of `root.json` and `pages/`, or the root's own path.
        path: PathBuf,
        /// Slots of base models, where pinned adapters are to fit.
        slots: Vec<SlotBudget>,
    },
    /// Compares two presets.
    PresetDiff {
        /// As for `ConfigCheck`.
        path: PathBuf,
        /// Preset before.
        from: PresetName,
        /// Preset after.
        to: PresetName,
        /// What the weight store can deliver.
        store: StoreBudget,
        /// Operator listeners, if the fleet's slots are to count.
        access: Option<Access>,
    },
    /// Waits until a generation is in effect everywhere.
    PresetWait {
        /// The generation.
        generation: Generation,
        /// Longest wait.
        limit: Duration,
        /// Operator listeners.
        access: Access,
    },
    /// Shows instances, owned engines, slots and queues.
    Status {
        /// Operator listeners.
        access: Access,
    },
    /// Shows where one request went and why.
    Explain {
        /// Identifier of the request.
        request_id: RequestId,
        /// Operator listeners.
        access: Access,
    },
    /// Shows what the logs of relays say of one request.
    ExplainLog {
        /// Id of the request, as its caller sent it.
        request: String,
        /// The logs.
        logs: Vec<Input>,
    },
    /// Asks for a completion and streams it.
    Ask {
        /// The request, without its prompt.
        request: CompletionRequest,
        /// Where the prompt comes from.
        prompt: Input,
        /// Caller listeners.
        access: Access,
    },
    /// Gets a ticket, submits, and re-sends safely.
    Submit {
        /// Where the body comes from.
        body: Input,
        /// Attempts in all.
        attempts: u32,
        /// Caller listeners.
        access: Access,
    },
    /// Tells what became of a submission.
    Outcome {
        /// The submission's ticket.
        ticket: String,
        /// Caller listeners.
        access: Access,
    },
    /// Writes a file of completions that the program has made.
    Completions {
        /// The completions.
        script: Vec<u8>,
    },
}
