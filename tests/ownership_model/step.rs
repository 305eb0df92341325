//! Steps of the fuzz test: events and faults of instances, network and engine.

use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;

pub const NODES: usize = 5;
/// Index of the engine among the ends of a blocked link.
pub const ENGINE: usize = NODES;
const ADAPTERS: usize = 3;
const MESSAGES: usize = 24;

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Time passes, and every process and message that can make progress does so.
    Run {
        ms: u64,
    },
    /// Time passes and nothing is delivered.
    Advance {
        ms: u64,
    },
    Tick {
        node: usize,
    },
    Flush {
        node: usize,
    },
    Arrive {
        node: usize,
        adapter: usize,
    },
    /// A request reaches every instance that still believes that it owns the engine.
    Request {
        adapter: usize,
    },
    Finish {
        pick: usize,
    },
    Deliver {
        pick: usize,
    },
    Drop {
        pick: usize,
    },
    Duplicate {
        pick: usize,
    },
    GiveUp {
        node: usize,
        pick: usize,
    },
    Pause {
        node: usize,
    },
    Resume {
        node: usize,
    },
    Restart {
        node: usize,
    },
    /// As `Run`, in rounds of one millisecond.
    RunMillis {
        rounds: usize,
    },
    /// Pauses an instance that has decided on a call to the engine but not sent it.
    PauseSender,
    /// A message to the engine is delayed in the network, an unload if there is one.
    Delay {
        pick: usize,
    },
    RestartEngine,
    Block {
        from: usize,
        to: usize,
    },
    Unblock,
    /// Blocks the links of an instance to every other, but not to the engine.
    Isolate {
        node: usize,
    },
    /// Isolates an instance and restarts every other.
    IsolateAndRestartOthers {
        node: usize,
    },
    /// The instance's own view of the fleet makes it the preferred owner, or not.
    SetPreferred {
        node: usize,
        preferred: bool,
    },
    /// The views of all running instances agree on one of them as the preferred owner.
    PreferOnly {
        node: usize,
    },
    /// The list of instances gains or loses one.
    ToggleListed {
        node: usize,
    },
    /// The newest list of instances reaches one.
    DeliverList {
        node: usize,
    },
}

pub fn any_step() -> BoxedStrategy<Step> {
    let node = || 0..NODES;
    let pick = || 0..MESSAGES;
    prop_oneof![
        24 => (50u64..900).prop_map(|ms| Step::Run { ms }),
        4 => (3000u64..14_000).prop_map(|ms| Step::Run { ms }),
        3 => (1u64..1200).prop_map(|ms| Step::Advance { ms }),
        2 => (1200u64..8000).prop_map(|ms| Step::Advance { ms }),
        3 => node().prop_map(|node| Step::Tick { node }),
        4 => node().prop_map(|node| Step::Flush { node }),
        2 => (node(), 0..ADAPTERS).prop_map(|(node, adapter)| Step::Arrive { node, adapter }),
        30 => (0..ADAPTERS).prop_map(|adapter| Step::Request { adapter }),
        24 => pick().prop_map(|pick| Step::Finish { pick }),
        16 => pick().prop_map(|pick| Step::Deliver { pick }),
        1 => pick().prop_map(|pick| Step::Drop { pick }),
        1 => pick().prop_map(|pick| Step::Duplicate { pick }),
        3 => (node(), pick()).prop_map(|(node, pick)| Step::GiveUp { node, pick }),
        2 => node().prop_map(|node| Step::Pause { node }),
        6 => Just(Step::PauseSender),
        12 => Just(Step::Run { ms: 50 }),
        16 => (1..20usize).prop_map(|rounds| Step::RunMillis { rounds }),
        8 => pick().prop_map(|pick| Step::Delay { pick }),
        12 => node().prop_map(|node| Step::Resume { node }),
        1 => node().prop_map(|node| Step::Restart { node }),
        1 => Just(Step::RestartEngine),
        1 => (node(), 0..=ENGINE).prop_map(|(from, to)| Step::Block { from, to }),
        4 => Just(Step::Unblock),
        3 => node().prop_map(|node| Step::Isolate { node }),
        1 => node().prop_map(|node| Step::IsolateAndRestartOthers { node }),
        5 => node().prop_map(|node| Step::PreferOnly { node }),
        1 => (node(), proptest::bool::ANY).prop_map(|(node, preferred)| {
            Step::SetPreferred { node, preferred }
        }),
        1 => node().prop_map(|node| Step::ToggleListed { node }),
        1 => node().prop_map(|node| Step::DeliverList { node }),
    ]
    .boxed()
}
