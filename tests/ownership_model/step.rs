//! What can happen to the instances, the network and the engine.

use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;

pub const NODES: usize = 5;
/// Place of the engine among the ends of a cut.
pub const ENGINE: usize = NODES;
const ADAPTERS: usize = 3;
const MESSAGES: usize = 24;

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Time passes while every process and message that can make progress does.
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
    Freeze {
        node: usize,
    },
    Thaw {
        node: usize,
    },
    Kill {
        node: usize,
    },
    /// Everything that can make progress does so in rounds of one millisecond.
    Rush {
        rounds: usize,
    },
    /// Freezes an instance that has decided on a message but not sent it.
    FreezeSender,
    /// A message to the engine is held up in the network.
    Delay {
        pick: usize,
    },
    RestartEngine,
    Cut {
        from: usize,
        to: usize,
    },
    Heal,
    /// Cuts an instance off from every other, but not from the engine.
    Isolate {
        node: usize,
    },
    /// Cuts an instance off and kills every other.
    Orphan {
        node: usize,
    },
    /// The instance's view of the fleet makes it the preferred owner, or not.
    Want {
        node: usize,
        wanted: bool,
    },
    /// The view of every running instance makes one of them the preferred owner.
    HandOver {
        node: usize,
    },
    /// The list gains or loses an instance.
    Relist {
        node: usize,
    },
    /// The newest list reaches an instance.
    Learn {
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
        2 => node().prop_map(|node| Step::Freeze { node }),
        6 => Just(Step::FreezeSender),
        12 => Just(Step::Run { ms: 50 }),
        16 => (1..20usize).prop_map(|rounds| Step::Rush { rounds }),
        8 => pick().prop_map(|pick| Step::Delay { pick }),
        12 => node().prop_map(|node| Step::Thaw { node }),
        1 => node().prop_map(|node| Step::Kill { node }),
        1 => Just(Step::RestartEngine),
        1 => (node(), 0..=ENGINE).prop_map(|(from, to)| Step::Cut { from, to }),
        4 => Just(Step::Heal),
        3 => node().prop_map(|node| Step::Isolate { node }),
        1 => node().prop_map(|node| Step::Orphan { node }),
        5 => node().prop_map(|node| Step::HandOver { node }),
        1 => (node(), proptest::bool::ANY).prop_map(|(node, wanted)| Step::Want { node, wanted }),
        1 => node().prop_map(|node| Step::Relist { node }),
        1 => node().prop_map(|node| Step::Learn { node }),
    ]
    .boxed()
}
