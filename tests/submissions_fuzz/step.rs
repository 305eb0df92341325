//! What can happen in one step.

use proptest::prelude::any;
use proptest::prop_oneof;
use proptest::strategy::BoxedStrategy;
use proptest::strategy::Just;
use proptest::strategy::Strategy;
use tamaracklead::decide::dispatch_failure::DispatchFailure;

/// One step; indexes are taken modulo what is there.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Time passes.
    Pass {
        ms: u64,
    },
    /// A caller takes a ticket.
    TakeTicket {
        node: u8,
    },
    /// A caller sends a ticket, perhaps again or with another body.
    Send {
        ticket: u8,
        node: u8,
        body: u8,
    },
    /// A message arrives; its receiver read the clock `lag_ms` before it acts.
    Deliver {
        index: u8,
        lag_ms: u64,
    },
    /// A message is lost.
    Lose {
        index: u8,
    },
    /// A message arrives twice.
    Duplicate {
        index: u8,
    },
    /// A connection to a desk is made, or not.
    Connect {
        node: u8,
        task: u8,
        made: bool,
    },
    /// An instance stops waiting for a desk.
    EndSend {
        node: u8,
        task: u8,
        end: DispatchFailure,
    },
    /// An instance stops waiting for an issuer.
    EndForward {
        node: u8,
        index: u8,
    },
    /// A desk gets a call.
    DeskWork {
        index: u8,
        act: DeskAct,
    },
    /// A process is stopped or goes on.
    Freeze {
        node: u8,
    },
    Thaw {
        node: u8,
    },
    /// A process is killed, and started again with the same name.
    Kill {
        node: u8,
    },
    Restart {
        node: u8,
    },
    /// Two instances lose or find each other.
    Cut {
        a: u8,
        b: u8,
    },
    Heal {
        a: u8,
        b: u8,
    },
    /// An instance forgets what it may.
    Forget {
        node: u8,
    },
}

/// What a desk does with a call.
#[derive(Clone, Copy, Debug)]
pub enum DeskAct {
    /// Runs it and answers.
    Run,
    /// Runs it and is killed.
    RunSilently,
    /// Runs it and answers with a failure.
    RunAndFail,
    /// Refuses it.
    Refuse,
}

fn end() -> impl Strategy<Value = DispatchFailure> {
    prop_oneof![
        Just(DispatchFailure::ResetBeforeSend),
        Just(DispatchFailure::ResetAfterSend),
        Just(DispatchFailure::AnswerDamaged),
        Just(DispatchFailure::TimedOut),
        Just(DispatchFailure::Cancelled),
    ]
}

fn act() -> impl Strategy<Value = DeskAct> {
    prop_oneof![
        4 => Just(DeskAct::Run),
        1 => Just(DeskAct::RunSilently),
        1 => Just(DeskAct::RunAndFail),
        1 => Just(DeskAct::Refuse),
    ]
}

fn span_ms() -> impl Strategy<Value = u64> {
    prop_oneof![
        4 => 1_u64..2_000,
        2 => 2_000_u64..150_000,
        1 => 150_000_u64..900_000,
    ]
}

fn lag_ms() -> impl Strategy<Value = u64> {
    prop_oneof![6 => Just(0_u64), 1 => 1_u64..900_000]
}

pub fn any_step() -> BoxedStrategy<Step> {
    let i = any::<u8>;
    prop_oneof![
        6 => span_ms().prop_map(|ms| Step::Pass { ms }),
        6 => i().prop_map(|node| Step::TakeTicket { node }),
        14 => (i(), i(), 0_u8..8).prop_map(|(ticket, node, body)| Step::Send {
            ticket, node, body: body / 7
        }),
        20 => (i(), lag_ms()).prop_map(|(index, lag_ms)| Step::Deliver { index, lag_ms }),
        2 => i().prop_map(|index| Step::Lose { index }),
        3 => i().prop_map(|index| Step::Duplicate { index }),
        12 => (i(), i(), 0_u8..4).prop_map(|(node, task, made)| Step::Connect {
            node, task, made: made > 0
        }),
        4 => (i(), i(), end()).prop_map(|(node, task, end)| Step::EndSend { node, task, end }),
        2 => (i(), i()).prop_map(|(node, index)| Step::EndForward { node, index }),
        8 => (i(), act()).prop_map(|(index, act)| Step::DeskWork { index, act }),
        2 => i().prop_map(|node| Step::Freeze { node }),
        4 => i().prop_map(|node| Step::Thaw { node }),
        1 => i().prop_map(|node| Step::Kill { node }),
        2 => i().prop_map(|node| Step::Restart { node }),
        1 => (i(), i()).prop_map(|(a, b)| Step::Cut { a, b }),
        2 => (i(), i()).prop_map(|(a, b)| Step::Heal { a, b }),
        2 => i().prop_map(|node| Step::Forget { node }),
    ]
    .boxed()
}
