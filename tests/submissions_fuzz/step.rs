//! Steps of the fuzz test: events and faults of callers, instances, network and desks.

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
    Advance { ms: u64 },
    /// A caller gets a ticket.
    TakeTicket { node: u8 },
    /// A caller sends a submission, perhaps with a used ticket or another body.
    Send { ticket: u8, node: u8, body: u8 },
    /// A message arrives; its receiver acts with a clock reading that is `lag_ms` old.
    Deliver { index: u8, lag_ms: u64 },
    /// A message is lost.
    Lose { index: u8 },
    /// A message arrives twice.
    Duplicate { index: u8 },
    /// A connection to a desk is made, or not.
    Connect { node: u8, task: u8, made: bool },
    /// An instance stops waiting for a desk.
    EndSend { node: u8, task: u8, end: DispatchFailure },
    /// An instance stops waiting for an issuer.
    EndForward { node: u8, index: u8 },
    /// A desk handles a call.
    DeskWork { index: u8, behaviour: DeskBehaviour },
    /// A process is paused.
    Pause { node: u8 },
    /// A paused process goes on.
    Resume { node: u8 },
    /// A process is killed.
    Kill { node: u8 },
    /// A killed process is started again with the same name.
    Restart { node: u8 },
    /// The link between two instances is blocked.
    Block { a: u8, b: u8 },
    /// The link between two instances works again.
    Unblock { a: u8, b: u8 },
    /// An instance forgets what has expired.
    Forget { node: u8 },
}

/// What a desk does with a call.
#[derive(Clone, Copy, Debug)]
pub enum DeskBehaviour {
    /// Runs it and answers.
    Run,
    /// Runs it and never answers.
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

fn behaviour() -> impl Strategy<Value = DeskBehaviour> {
    prop_oneof![
        4 => Just(DeskBehaviour::Run),
        1 => Just(DeskBehaviour::RunSilently),
        1 => Just(DeskBehaviour::RunAndFail),
        1 => Just(DeskBehaviour::Refuse),
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
        6 => span_ms().prop_map(|ms| Step::Advance { ms }),
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
        8 => (i(), behaviour()).prop_map(|(index, behaviour)| Step::DeskWork { index, behaviour }),
        2 => i().prop_map(|node| Step::Pause { node }),
        4 => i().prop_map(|node| Step::Resume { node }),
        1 => i().prop_map(|node| Step::Kill { node }),
        2 => i().prop_map(|node| Step::Restart { node }),
        1 => (i(), i()).prop_map(|(a, b)| Step::Block { a, b }),
        2 => (i(), i()).prop_map(|(a, b)| Step::Unblock { a, b }),
        2 => i().prop_map(|node| Step::Forget { node }),
    ]
    .boxed()
}
