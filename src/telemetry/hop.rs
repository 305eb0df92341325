//! The hops of a request that traces record.

use opentelemetry::trace::SpanKind;

/// One hop of a request; each is recorded as one span.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Hop {
    /// Serving a completion at the entry instance that the caller called.
    EntryCompletion,
    /// Call of the entry instance to the owner of an engine.
    DispatchCall,
    /// Serving a completion at the owner of its engine.
    OwnerCompletion,
    /// Call of the owner to its engine.
    EngineCall,
    /// Adapter load that the owner ordered; a trace of its own.
    AdapterLoad,
    /// Serving a submission at the entry instance that the caller called.
    EntrySubmission,
    /// Call to the instance that issued the ticket.
    ForwardCall,
    /// Serving a submission at the instance that issued its ticket.
    IssuerSubmission,
    /// Call to a desk.
    DeskCall,
}

impl Hop {
    /// Every hop, for tests of the documentation.
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

    /// Name of the span in traces.
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

    /// Span kind: the serving or the calling side.
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
