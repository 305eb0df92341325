//! The instances, the network between them, the callers and the desks.

use std::collections::BTreeSet;

use tamaracklead::decide::dispatch_failure::DispatchFailure;
use tamaracklead::decide::submissions::Ticket;
use tamaracklead::names::Incarnation;
use tamaracklead::names::RequestId;

use crate::message::DeskAnswer;
use crate::message::Message;
use crate::message::ReplyTo;
use crate::node::Node;
use crate::node::Task;
use crate::oracle::Oracle;
use crate::step::DeskBehaviour;
use crate::step::Step;

pub const TICKET_KEY: &[u8] = b"key of the fleet";
const NODES: usize = 3;
const SETTLE_ROUNDS: usize = 200;

#[derive(Debug)]
pub struct World {
    pub now_ms: u64,
    pub nodes: Vec<Node>,
    pub messages: Vec<Message>,
    pub oracle: Oracle,
    blocked_links: BTreeSet<(usize, usize)>,
    tickets: Vec<(RequestId, String)>,
    ids: u64,
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            now_ms: 0,
            nodes: Vec::new(),
            messages: Vec::new(),
            oracle: Oracle::default(),
            blocked_links: BTreeSet::new(),
            tickets: Vec::new(),
            ids: 0,
        };
        for index in 0..NODES {
            let incarnation = Incarnation(world.next_id());
            world.nodes.push(Node::new(index, 0, incarnation));
        }
        world
    }

    pub fn next_id(&mut self) -> u64 {
        self.ids += 1;
        self.ids
    }

    pub fn is_blocked(&self, a: usize, b: usize) -> bool {
        self.blocked_links.contains(&(a.min(b), a.max(b)))
    }

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Advance { ms } => self.now_ms += ms,
            Step::TakeTicket { node } => self.take_ticket(Self::node_index(node)),
            Step::Send { ticket, node, body } => self.send(ticket, Self::node_index(node), body),
            Step::Deliver { index, lag_ms } => self.deliver(index.into(), lag_ms),
            Step::Lose { index } => self.lose(index.into()),
            Step::Duplicate { index } => self.duplicate(index.into()),
            Step::Connect { node, task, made } => {
                self.with_task(node, task, |world, node, task| world.connect(node, task, made));
            }
            Step::EndSend { node, task, end } => {
                self.with_task(node, task, |world, node, task| world.end_send(node, task, end));
            }
            Step::EndForward { node, index } => self.pick_forward(Self::node_index(node), index),
            Step::DeskWork { index, behaviour } => self.desk_work(index.into(), behaviour),
            Step::Pause { node } => self.nodes[Self::node_index(node)].paused = true,
            Step::Resume { node } => self.nodes[Self::node_index(node)].paused = false,
            Step::Kill { node } => self.kill(Self::node_index(node)),
            Step::Restart { node } => self.restart(Self::node_index(node)),
            Step::Block { a, b } => self.set_blocked(a, b, true),
            Step::Unblock { a, b } => self.set_blocked(a, b, false),
            Step::Forget { node } => self.forget(Self::node_index(node)),
        }
    }

    /// Ends every fault and lets everything in progress finish.
    pub fn settle(&mut self) {
        self.blocked_links.clear();
        self.nodes.iter_mut().for_each(|node| node.paused = false);
        for _ in 0..SETTLE_ROUNDS {
            for node in 0..NODES {
                self.settle_node(node);
            }
            while !self.messages.is_empty() {
                match self.messages[0] {
                    Message::DeskCall { .. } => self.desk_work(0, DeskBehaviour::Run),
                    _ => self.deliver(0, 0),
                }
                self.oracle.check();
            }
        }
    }

    fn settle_node(&mut self, node: usize) {
        let tasks: Vec<usize> = self.nodes[node].tasks.keys().copied().collect();
        for task in tasks {
            match self.nodes[node].tasks[&task] {
                Task::Connecting { .. } => self.connect(node, task, true),
                Task::Sending { .. } => self.end_send(node, task, DispatchFailure::TimedOut),
            }
        }
        let forwards: Vec<usize> = self.nodes[node].forwards.keys().copied().collect();
        for forward in forwards {
            self.end_forward(node, forward);
        }
    }

    fn node_index(index: u8) -> usize {
        usize::from(index) % NODES
    }

    fn take_ticket(&mut self, node: usize) {
        if !self.nodes[node].can_act() {
            return;
        }
        let id = RequestId(self.next_id().into());
        let now = self.nodes[node].clock(self.now_ms);
        let Ok(ticket) = self.nodes[node].table.issue(now, id) else { return };
        let expires_in_ms = ticket.expires_ms - now.as_micros() / 1000;
        self.messages.push(Message::Ticket { token: ticket.sign(TICKET_KEY), id, expires_in_ms });
    }

    fn send(&mut self, ticket: u8, node: usize, body: u8) {
        if self.tickets.is_empty() {
            return;
        }
        let (id, token) = self.tickets[usize::from(ticket) % self.tickets.len()].clone();
        let send = self.next_id() as usize;
        self.oracle.sent(send, id, body);
        self.messages.push(Message::Submit { node, send, token, body });
    }

    fn deliver(&mut self, index: usize, lag_ms: u64) {
        if self.messages.is_empty() {
            return;
        }
        let index = index % self.messages.len();
        if self.is_held_back(&self.messages[index]) {
            return;
        }
        match self.messages.swap_remove(index) {
            Message::Ticket { token, id, expires_in_ms } => {
                self.oracle.ticket_taken(self.now_ms, id, expires_in_ms);
                self.tickets.push((id, token));
            }
            Message::Submit { node, send, token, body } => {
                if self.nodes[node].alive {
                    let reply_to = ReplyTo::Caller { send };
                    self.on_submit(node, &token, body, reply_to, lag_ms);
                } else {
                    self.oracle.disconnected(send);
                }
            }
            Message::Forward { from, node, forward, token, body } => {
                if self.nodes[node].alive {
                    let reply_to = ReplyTo::Peer { process: from, forward };
                    self.on_submit(node, &token, body, reply_to, lag_ms);
                }
            }
            Message::Forwarded { to, forward, verdict } => {
                self.on_forwarded(to, forward, verdict);
            }
            Message::Answer { send, id, result } => self.oracle.on_answer(send, id, &result),
            Message::DeskAnswer { to, task, answer } => self.on_desk_answer(to, task, answer),
            call @ Message::DeskCall { .. } => self.messages.push(call),
        }
    }

    /// Whether the receiver is paused or the link is blocked.
    fn is_held_back(&self, message: &Message) -> bool {
        match message {
            Message::Submit { node, .. } => self.nodes[*node].paused,
            Message::Forward { from, node, .. } => {
                self.nodes[*node].paused || self.is_blocked(from.node, *node)
            }
            Message::Forwarded { to, .. } | Message::DeskAnswer { to, .. } => {
                self.nodes[to.node].paused
            }
            Message::Ticket { .. } | Message::Answer { .. } | Message::DeskCall { .. } => false,
        }
    }

    fn lose(&mut self, index: usize) {
        if self.messages.is_empty() {
            return;
        }
        let index = index % self.messages.len();
        match self.messages.swap_remove(index) {
            Message::Submit { send, .. } | Message::Answer { send, .. } => {
                self.oracle.disconnected(send);
            }
            _ => {}
        }
    }

    /// Duplicates a message, unless it is a call to a desk: a connection carries it once.
    fn duplicate(&mut self, index: usize) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages[index % self.messages.len()].clone();
        if !matches!(message, Message::DeskCall { .. }) {
            self.messages.push(message);
        }
    }

    fn desk_work(&mut self, index: usize, behaviour: DeskBehaviour) {
        let calls: Vec<usize> = (0..self.messages.len())
            .filter(|i| matches!(self.messages[*i], Message::DeskCall { .. }))
            .collect();
        if calls.is_empty() {
            return;
        }
        let call = self.messages.swap_remove(calls[index % calls.len()]);
        let Message::DeskCall { from: to, task, id, body } = call else { return };
        let answer = match behaviour {
            DeskBehaviour::Run => DeskAnswer::Receipt(self.oracle.desk_ran(id, body)),
            DeskBehaviour::RunSilently => {
                self.oracle.desk_ran(id, body);
                return;
            }
            DeskBehaviour::RunAndFail => {
                self.oracle.desk_ran(id, body);
                DeskAnswer::Status(500)
            }
            DeskBehaviour::Refuse => DeskAnswer::Status(422),
        };
        self.messages.push(Message::DeskAnswer { to, task, answer });
    }

    fn kill(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        node.alive = false;
        node.paused = false;
        node.tasks.clear();
        let waiting = node.waiting.drain(..).map(|waiting| waiting.reply_to);
        let forwards = std::mem::take(&mut node.forwards).into_values();
        for reply_to in waiting.chain(forwards.map(|pending| pending.reply_to)) {
            if let ReplyTo::Caller { send } = reply_to {
                self.oracle.disconnected(send);
            }
        }
    }

    fn restart(&mut self, node: usize) {
        if self.nodes[node].alive {
            return;
        }
        let incarnation = Incarnation(self.next_id());
        self.nodes[node] = Node::new(node, self.now_ms, incarnation);
    }

    fn set_blocked(&mut self, a: u8, b: u8, is_blocked: bool) {
        let (a, b) = (Self::node_index(a), Self::node_index(b));
        let pair = (a.min(b), a.max(b));
        if is_blocked && a != b {
            self.blocked_links.insert(pair);
        } else {
            self.blocked_links.remove(&pair);
        }
    }

    fn forget(&mut self, node: usize) {
        if self.nodes[node].can_act() {
            let now = self.nodes[node].clock(self.now_ms);
            self.nodes[node].table.forget_expired(now);
        }
    }

    fn with_task(&mut self, node: u8, task: u8, f: impl Fn(&mut Self, usize, usize)) {
        let node = Self::node_index(node);
        let count = self.nodes[node].tasks.len();
        if count == 0 || !self.nodes[node].can_act() {
            return;
        }
        let task = self.nodes[node].tasks.keys().nth(usize::from(task) % count).copied();
        f(self, node, task.unwrap());
    }

    fn pick_forward(&mut self, node: usize, index: u8) {
        let count = self.nodes[node].forwards.len();
        if count == 0 || !self.nodes[node].can_act() {
            return;
        }
        let forward = self.nodes[node].forwards.keys().nth(usize::from(index) % count).copied();
        self.end_forward(node, forward.unwrap());
    }

    pub fn issuer_of(&self, ticket: &Ticket) -> Option<usize> {
        self.nodes.iter().position(|node| node.name == ticket.issuer)
    }
}
