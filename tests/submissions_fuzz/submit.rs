//! How the instances of the model handle submissions, with the state machines under test.

use tamaracklead::decide::dispatch_failure::DispatchFailure;
use tamaracklead::decide::submissions::AfterSend;
use tamaracklead::decide::submissions::BodyHash;
use tamaracklead::decide::submissions::ClaimResult;
use tamaracklead::decide::submissions::Outcome;
use tamaracklead::decide::submissions::Ticket;
use tamaracklead::decide::submissions::TicketRoute;
use tamaracklead::decide::submissions::Verdict;
use tamaracklead::error::ErrorKind;
use tamaracklead::names::RequestId;
use tamaracklead::names::Timestamp;

use crate::message::DeskAnswer;
use crate::message::Message;
use crate::message::Process;
use crate::message::ReplyTo;
use crate::node::PendingForward;
use crate::node::REPLICAS;
use crate::node::Task;
use crate::node::Waiting;
use crate::world::TICKET_KEY;
use crate::world::World;

impl World {
    pub fn on_submit(
        &mut self,
        node: usize,
        token: &str,
        body: u8,
        reply_to: ReplyTo,
        lag_ms: u64,
    ) {
        let ticket = match Ticket::verify(token, TICKET_KEY) {
            Ok(ticket) => ticket,
            Err(e) => return self.reply(node, None, reply_to, Verdict::Unknown { error: e }),
        };
        let own = &self.nodes[node];
        let is_known = |name: &_| self.nodes.iter().any(|node| &node.name == name);
        match TicketRoute::of(&ticket, &own.name, own.incarnation, is_known) {
            TicketRoute::Here => {
                let now = own.clock(self.now_ms.saturating_sub(lag_ms));
                self.claim(node, now, Waiting { ticket, body, reply_to });
            }
            TicketRoute::Forward(_) if matches!(reply_to, ReplyTo::Caller { .. }) => {
                self.forward(node, token, body, ticket, reply_to);
            }
            TicketRoute::Forward(_) | TicketRoute::Gone => {
                let verdict = Verdict::issuer_lost(&ticket, "its process is gone");
                self.reply(node, Some(ticket.id), reply_to, verdict);
            }
        }
    }

    fn claim(&mut self, node: usize, now: Timestamp, waiting: Waiting) {
        let id = waiting.ticket.id;
        let hash = BodyHash::of(&[waiting.body]);
        match self.nodes[node].table.claim(now, &waiting.ticket, hash) {
            Ok(ClaimResult::Run(attempt)) => {
                let task = self.next_id() as usize;
                let body = waiting.body;
                let connecting = Task::Connecting { attempt, body, tried: 0 };
                self.nodes[node].tasks.insert(task, connecting);
                self.nodes[node].waiting.push(waiting);
            }
            Ok(ClaimResult::Running) => self.nodes[node].waiting.push(waiting),
            Ok(ClaimResult::Ended(outcome)) => {
                let verdict = Verdict::of_outcome(id, &outcome);
                self.reply(node, Some(id), waiting.reply_to, verdict);
            }
            Err(e) => self.reply(node, Some(id), waiting.reply_to, Verdict::of_refusal(e)),
        }
    }

    fn forward(&mut self, node: usize, token: &str, body: u8, ticket: Ticket, reply_to: ReplyTo) {
        let issuer = self.issuer_of(&ticket).unwrap();
        if self.is_blocked(node, issuer) || !self.nodes[issuer].alive {
            let verdict = Verdict::issuer_lost(&ticket, "no connection");
            return self.reply(node, Some(ticket.id), reply_to, verdict);
        }
        let forward = self.next_id() as usize;
        let from = self.nodes[node].process();
        let pending = PendingForward { ticket, reply_to };
        self.nodes[node].forwards.insert(forward, pending);
        let token = token.to_owned();
        self.messages.push(Message::Forward { from, node: issuer, forward, token, body });
    }

    pub fn on_forwarded(&mut self, to: Process, forward: usize, verdict: Verdict) {
        if !self.nodes[to.node].is(to) {
            return;
        }
        let Some(pending) = self.nodes[to.node].forwards.remove(&forward) else { return };
        self.reply(to.node, Some(pending.ticket.id), pending.reply_to, verdict);
    }

    pub fn end_forward(&mut self, node: usize, forward: usize) {
        let Some(pending) = self.nodes[node].forwards.remove(&forward) else { return };
        let verdict = Verdict::issuer_lost(&pending.ticket, "no answer in time");
        self.reply(node, Some(pending.ticket.id), pending.reply_to, verdict);
    }

    fn reply(&mut self, node: usize, id: Option<RequestId>, to: ReplyTo, verdict: Verdict) {
        match to {
            ReplyTo::Caller { send } => {
                let result = verdict.into_receipt(id.unwrap_or(RequestId(0)));
                self.messages.push(Message::Answer { send, id, result });
            }
            ReplyTo::Peer { process, forward } if !self.is_blocked(node, process.node) => {
                self.messages.push(Message::Forwarded { to: process, forward, verdict });
            }
            ReplyTo::Peer { .. } => {}
        }
    }

    pub fn connect(&mut self, node: usize, task: usize, made: bool) {
        let Some(Task::Connecting { attempt, body, tried }) = self.take_connecting(node, task)
        else {
            return;
        };
        let id = attempt.id();
        let tried = tried + 1;
        let now = self.nodes[node].clock(self.now_ms);
        let table = &mut self.nodes[node].table;
        if !made {
            let end = DispatchFailure::ConnectRefused;
            let after = table.end_without_connection(attempt, end, tried < REPLICAS);
            return self.after_send(node, task, id, body, tried, after);
        }
        match table.start_send(now, attempt) {
            Ok(permit) => {
                self.oracle.desk_called(self.now_ms, id);
                let from = self.nodes[node].process();
                self.nodes[node].tasks.insert(task, Task::Sending { permit, body, tried });
                self.messages.push(Message::DeskCall { from, task, id, body });
            }
            Err(outcome) => self.ended(node, id, &outcome),
        }
    }

    fn take_connecting(&mut self, node: usize, task: usize) -> Option<Task> {
        let tasks = &mut self.nodes[node].tasks;
        match tasks.get(&task)? {
            Task::Connecting { .. } => tasks.remove(&task),
            Task::Sending { .. } => None,
        }
    }

    /// The connection to the desk ends. What was sent may still arrive, unless `end` says that
    /// nothing was sent.
    pub fn end_send(&mut self, node: usize, task: usize, end: DispatchFailure) {
        let from = self.nodes[node].process();
        let Some(Task::Sending { .. }) = self.nodes[node].tasks.get(&task) else { return };
        let call = self.messages.iter().position(|message| {
            matches!(message, Message::DeskCall { from: f, task: t, .. } if *f == from && *t == task)
        });
        let end = match (end, call) {
            (DispatchFailure::ResetBeforeSend, Some(call)) => {
                self.messages.swap_remove(call);
                end
            }
            (DispatchFailure::ResetBeforeSend, None) => DispatchFailure::ResetAfterSend,
            _ => end,
        };
        self.finish_send(node, task, end);
    }

    fn finish_send(&mut self, node: usize, task: usize, end: DispatchFailure) {
        let Some(Task::Sending { permit, body, tried }) = self.nodes[node].tasks.remove(&task)
        else {
            return;
        };
        let id = permit.id();
        let after = self.nodes[node].table.end_without_receipt(permit, end, tried < REPLICAS);
        self.after_send(node, task, id, body, tried, after);
    }

    pub fn on_desk_answer(&mut self, to: Process, task: usize, answer: DeskAnswer) {
        let node = to.node;
        if !self.nodes[node].is(to) {
            return;
        }
        let Some(Task::Sending { .. }) = self.nodes[node].tasks.get(&task) else { return };
        match answer {
            DeskAnswer::Status(status) => {
                self.finish_send(node, task, DispatchFailure::of_desk_status(status));
            }
            DeskAnswer::Receipt(receipt) => {
                let Some(Task::Sending { permit, .. }) = self.nodes[node].tasks.remove(&task)
                else {
                    return;
                };
                let id = permit.id();
                let outcome = self.nodes[node].table.end_with_receipt(permit, &receipt);
                self.ended(node, id, &outcome);
            }
        }
    }

    fn after_send(
        &mut self,
        node: usize,
        task: usize,
        id: RequestId,
        body: u8,
        tried: usize,
        after: AfterSend,
    ) {
        match after {
            AfterSend::TryAnother(attempt) => {
                let connecting = Task::Connecting { attempt, body, tried };
                self.nodes[node].tasks.insert(task, connecting);
            }
            AfterSend::Ended(outcome) => self.ended(node, id, &outcome),
        }
    }

    /// Claims the ticket again for every request that waits, as a re-send would.
    fn ended(&mut self, node: usize, id: RequestId, outcome: &Outcome) {
        if let Outcome::NotRun { kind } = outcome {
            assert!(kind.response().not_run, "{kind:?} doesn't say \"not run\"");
            assert_ne!(*kind, ErrorKind::OutcomeUnknown);
        }
        let now = self.nodes[node].clock(self.now_ms);
        for waiting in self.nodes[node].take_waiting(id) {
            self.claim(node, now, waiting);
        }
    }
}
