//! Oracle: what callers and desks saw, and the rules that it must follow.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tamaracklead::error::Result;
use tamaracklead::names::RequestId;

/// One run of a submission at a desk.
#[derive(Clone, Debug)]
struct Run {
    receipt: String,
    body: u8,
}

#[derive(Debug, Default)]
pub struct Oracle {
    runs: BTreeMap<RequestId, Vec<Run>>,
    answered_not_run: BTreeSet<RequestId>,
    answered_receipts: BTreeMap<RequestId, BTreeSet<String>>,
    sent_bodies: BTreeMap<RequestId, BTreeSet<u8>>,
    expires_at_ms: BTreeMap<RequestId, u64>,
    open_sends: BTreeSet<usize>,
}

impl Oracle {
    /// Records that a caller got a ticket that expires `expires_in_ms` later.
    pub fn ticket_taken(&mut self, now_ms: u64, id: RequestId, expires_in_ms: u64) {
        self.expires_at_ms.entry(id).or_insert(now_ms + expires_in_ms);
    }

    pub fn sent(&mut self, send: usize, id: RequestId, body: u8) {
        self.open_sends.insert(send);
        self.sent_bodies.entry(id).or_default().insert(body);
    }

    /// Records that the caller's connection broke, so that it gets no answer.
    pub fn disconnected(&mut self, send: usize) {
        self.open_sends.remove(&send);
    }

    pub fn on_answer(&mut self, send: usize, id: Option<RequestId>, result: &Result<String>) {
        self.open_sends.remove(&send);
        let Some(id) = id else { return };
        match result {
            Ok(receipt) => {
                self.answered_receipts.entry(id).or_default().insert(receipt.clone());
            }
            Err(e) if e.response().not_run => {
                self.answered_not_run.insert(id);
            }
            Err(_) => {}
        }
    }

    /// Checks that no call is sent to a desk once its caller may trust the desk's status.
    pub fn desk_called(&self, now_ms: u64, id: RequestId) {
        if let Some(expires) = self.expires_at_ms.get(&id) {
            assert!(
                now_ms < *expires,
                "{id} sent at {now_ms} ms, its ticket expired at {expires} ms"
            );
        }
    }

    /// Records that a desk ran a submission; returns its receipt.
    pub fn desk_ran(&mut self, id: RequestId, body: u8) -> String {
        let runs = self.runs.entry(id).or_default();
        let receipt = format!("r-{id}-{}", runs.len());
        runs.push(Run { receipt: receipt.clone(), body });
        receipt
    }

    pub fn check(&self) {
        for (id, runs) in &self.runs {
            assert!(runs.len() <= 1, "{id} ran {} times", runs.len());
            assert!(!self.answered_not_run.contains(id), "{id} ran; a caller was told \"not run\"");
            let sent = self.sent_bodies.get(id);
            assert!(sent.is_some_and(|sent| sent.contains(&runs[0].body)), "{id}: unknown body");
        }
        for (id, receipts) in &self.answered_receipts {
            let run = self.runs.get(id).and_then(|runs| runs.first());
            let receipt = run.map(|run| run.receipt.as_str());
            assert_eq!(receipts.iter().map(String::as_str).collect::<Vec<_>>(), [receipt.unwrap()]);
        }
    }

    /// Checks that every caller whose connection didn't break got an answer.
    pub fn check_answered(&self) {
        assert!(self.open_sends.is_empty(), "sends without an answer: {:?}", self.open_sends);
    }
}
