//! The hops of a request.

use opentelemetry::trace::SpanKind;

/// One hop of a request; each is one span.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Hop {
    /// A completion at the entry instance that the caller called.
    EntryCompletion,
    /// The entry instance's call to the owner of an engine.
    DispatchCall,
    /// A completion at the owner of its engine.
    OwnerCompletion,
    /// The owner's call to its engine.
    EngineCall,
    /// An adapter load that the owner ordered.
    AdapterLoad,
    /// A submission at the entry instance that the caller called.
    EntrySubmission,
    /// The call to the instance that issued the ticket.
    ForwardCall,
    /// A submission at the instance that issued its ticket.
    IssuerSubmission,
    /// The call to a desk.
    DeskCall,
}

impl Hop {
    /// Every hop, for tables and tests.
    pub const ALL: [Self; 9] = [
        Self::EntryCompletion,
        Self::DispatchCall,
        Self::OwnerCompletion,
        Self::EngineCall,
        Self::AdapterLoad,
        Self::EntrySubmission,
        Self::ForwardCall,
        Self::IssuerSubmission,
        Self::DeskCall,
    ];

    /// Name of the span.
    pub fn name(self) -> &'static str {
        match self {
            Self::EntryCompletion => "entry completion",
            Self::DispatchCall => "dispatch call",
            Self::OwnerCompletion => "owner completion",
            Self::EngineCall => "engine call",
            Self::AdapterLoad => "adapter load",
            Self::EntrySubmission => "entry submission",
            Self::ForwardCall => "forward call",
            Self::IssuerSubmission => "issuer submission",
            Self::DeskCall => "desk call",
        }
    }

    /// Side of a call that the span stands for.
    pub(super) fn kind(self) -> SpanKind {
        match self {
            Self::EntryCompletion
            | Self::OwnerCompletion
            | Self::EntrySubmission
            | Self::IssuerSubmission => SpanKind::Server,
            Self::DispatchCall
            | Self::EngineCall
            | Self::AdapterLoad
            | Self::ForwardCall
            | Self::DeskCall => SpanKind::Client,
        }
    }
}
