//! Guards against a re-send that could run a submission twice, and a false claim of "not run".

use std::time::Duration;

use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::sample::select;
use proptest::test_runner::RngSeed;
use tamaracklead::decide::resend::AttemptEnd;
use tamaracklead::decide::resend::NextStep;
use tamaracklead::decide::resend::ResendPolicy;
use tamaracklead::error::Error;
use tamaracklead::error::ErrorKind;

fn refused(kind: ErrorKind) -> AttemptEnd {
    AttemptEnd::Refused(Error::new(kind, "refused"))
}

fn steps(attempts: u32, ends: &[AttemptEnd]) -> Vec<&'static str> {
    let mut resend = ResendPolicy::new(attempts);
    ends.iter()
        .map(|end| match resend.on_attempt_end(end) {
            NextStep::SameTicket { .. } => "same",
            NextStep::NewTicket { .. } => "new",
            NextStep::GiveUpNotRun => "not run",
            NextStep::GiveUpUnknown => "unknown",
        })
        .collect()
}

#[test]
fn each_attempt_end_has_its_next_step() {
    let overloaded = || refused(ErrorKind::Overloaded);
    let cases: [(&str, Vec<AttemptEnd>, Vec<&str>); 9] = [
        ("never sent", vec![AttemptEnd::NotSent], vec!["new"]),
        ("lost", vec![AttemptEnd::Lost], vec!["same"]),
        ("not run", vec![overloaded()], vec!["new"]),
        ("refused for good", vec![refused(ErrorKind::Malformed)], vec!["not run"]),
        ("not run after lost", vec![AttemptEnd::Lost, overloaded()], vec!["same", "same"]),
        (
            "expired after lost",
            vec![AttemptEnd::Lost, refused(ErrorKind::TicketExpired)],
            vec!["same", "unknown"],
        ),
        ("unknown", vec![refused(ErrorKind::OutcomeUnknown)], vec!["same"]),
        (
            "attempts used up",
            vec![overloaded(), overloaded(), overloaded()],
            vec!["new", "new", "not run"],
        ),
        (
            "attempts used up after lost",
            vec![AttemptEnd::Lost, AttemptEnd::NotSent, AttemptEnd::NotSent],
            vec!["same", "same", "unknown"],
        ),
    ];
    for (name, ends, expected) in cases {
        assert_eq!(steps(3, &ends), expected, "{name}");
    }
}

#[test]
fn the_delay_follows_the_retry_after_of_a_refusal() {
    let wait = Duration::from_secs(7);
    let error = Error::new(ErrorKind::Overloaded, "busy").retry_after(wait);
    let step = ResendPolicy::new(2).on_attempt_end(&AttemptEnd::Refused(error));
    assert_eq!(step, NextStep::NewTicket { after: wait });
}

fn any_end() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        Just(AttemptEnd::NotSent),
        Just(AttemptEnd::Lost),
        select(ErrorKind::ALL.to_vec()).prop_map(refused),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_203),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn once_an_attempt_may_have_run_there_is_no_new_ticket_and_no_claim_of_not_run(
        ends in prop::collection::vec(any_end(), 1..12),
        attempts in 1_u32..12,
    ) {
        let mut resend = ResendPolicy::new(attempts);
        let mut maybe_ran = false;
        for (i, end) in ends.iter().enumerate() {
            maybe_ran |= match end {
                AttemptEnd::NotSent => false,
                AttemptEnd::Lost => true,
                AttemptEnd::Refused(error) => !error.kind.response().not_run,
            };
            let step = resend.on_attempt_end(end);
            let final_step = matches!(step, NextStep::GiveUpNotRun | NextStep::GiveUpUnknown);
            let needs_proof = matches!(step, NextStep::NewTicket { .. } | NextStep::GiveUpNotRun);
            prop_assert!(!(maybe_ran && needs_proof), "{:?} after {:?}", step, end);
            prop_assert!(i + 1 < attempts as usize || final_step);
            if final_step {
                break;
            }
        }
    }
}
