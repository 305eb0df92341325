//! The story of one request, from the logs of the relays that it passed.
//!
//! Beside the lines of the request itself it holds what the logs say, around that time,
//! of the adapter it waited for, the replicas it was sent to and the instances it passed.

use std::collections::BTreeSet;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Time before a request's first line from which on other lines belong to its story, in ms.
const BEFORE_MS: u64 = 2000;
/// The same after its last line, in ms.
const AFTER_MS: u64 = 500;

/// Events of a replica that matter to the requests sent to it.
const REPLICA_EVENTS: [&str; 6] = [
    "replica_known",
    "replica_removed",
    "replica_call_failed",
    "orders_held",
    "orders_taken_over",
    "orders_handed_over",
];
/// Events of an instance that matter to the requests in progress there.
const INSTANCE_EVENTS: [&str; 9] = [
    "started",
    "stopping",
    "stopped",
    "paused",
    "published_lost",
    "published_regained",
    "history_lost",
    "config_taken",
    "log_lines_dropped",
];

/// What a step of the story is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum About {
    /// The request itself.
    Request,
    /// An adapter that it waited for.
    Adapter,
    /// A replica that it was sent to.
    Replica,
    /// An instance that it passed.
    Instance,
}

/// One step of the story.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LogStep {
    /// Unix milliseconds.
    pub at_ms: u64,
    /// The instance that wrote the line.
    pub instance: String,
    /// What it is about.
    pub about: About,
    /// Name of the event.
    pub event: String,
    /// Its fields.
    pub detail: String,
}

/// Lines of logs, of which stories are told.
#[derive(Clone, Debug, Default)]
pub struct LogLines {
    lines: Vec<Line>,
    unreadable: usize,
}

#[derive(Clone, Debug)]
struct Line {
    at_ms: u64,
    instance: String,
    event: String,
    fields: Map<String, Value>,
}

impl LogLines {
    /// Adds a log; its lines may have a prefix that ends with the name of the instance.
    ///
    /// Without one, `source` names the instance until a line says that it started.
    pub fn add(&mut self, source: &str, text: &str) {
        let mut instance = source.to_owned();
        for text in text.lines() {
            let Some(start) = text.find('{') else { continue };
            let (prefix, json) = text.split_at(start);
            match Line::parse(prefix, json, &mut instance) {
                Some(line) => self.lines.push(line),
                None => self.unreadable += 1,
            }
        }
    }

    /// Lines that were read.
    pub fn count(&self) -> usize {
        self.lines.len()
    }

    /// Lines that aren't events.
    pub fn unreadable(&self) -> usize {
        self.unreadable
    }

    /// What happened to a request, in order; empty if no line names it.
    pub fn story(&self, request: &str) -> Vec<LogStep> {
        let own: Vec<&Line> =
            self.lines.iter().filter(|line| line.text("id") == Some(request)).collect();
        let times = own.iter().map(|line| line.at_ms);
        let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
            return Vec::new();
        };
        let named = |field| own.iter().filter_map(|line| line.text(field)).collect();
        let adapters: BTreeSet<&str> = named("adapter");
        let replicas: BTreeSet<&str> = named("replica");
        let instances: BTreeSet<&str> = own.iter().map(|line| line.instance.as_str()).collect();
        let window = first.saturating_sub(BEFORE_MS)..=last.saturating_add(AFTER_MS);
        let about = |line: &Line| {
            if line.text("id") == Some(request) {
                return Some(About::Request);
            }
            if !window.contains(&line.at_ms) {
                return None;
            }
            line.about(&adapters, &replicas, &instances)
        };
        let mut steps: Vec<LogStep> =
            self.lines.iter().filter_map(|line| Some(line.step(about(line)?))).collect();
        steps.sort_by_key(|step| step.at_ms);
        steps
    }
}

impl Line {
    fn parse(prefix: &str, json: &str, instance: &mut String) -> Option<Self> {
        let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let at_ms = fields.remove("at_ms")?.as_u64()?;
        let event = fields.remove("event")?.as_str()?.to_owned();
        if event == "started"
            && let Some(name) = fields.get("instance").and_then(Value::as_str)
        {
            name.clone_into(instance);
        }
        let prefixed = prefix.split_whitespace().last();
        let instance = prefixed.unwrap_or(instance.as_str()).to_owned();
        Some(Self { at_ms, instance, event, fields })
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    fn about(
        &self,
        adapters: &BTreeSet<&str>,
        replicas: &BTreeSet<&str>,
        instances: &BTreeSet<&str>,
    ) -> Option<About> {
        let event = self.event.as_str();
        let adapter = match event {
            "load_late" => self.text("adapter"),
            // An order names the adapter after its kind and before its version.
            "order_given" => self.text("order").and_then(ordered_adapter),
            _ => None,
        };
        if adapter.is_some_and(|adapter| adapters.contains(adapter)) {
            return Some(About::Adapter);
        }
        let of_replica = self.text("replica").is_some_and(|replica| replicas.contains(replica));
        if of_replica && REPLICA_EVENTS.contains(&event) {
            return Some(About::Replica);
        }
        let of_instance = instances.contains(self.instance.as_str());
        (of_instance && INSTANCE_EVENTS.contains(&event)).then_some(About::Instance)
    }

    fn step(&self, about: About) -> LogStep {
        let fields = self.fields.iter().filter(|(name, _)| *name != "id");
        let shown = fields.map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        });
        LogStep {
            at_ms: self.at_ms,
            instance: self.instance.clone(),
            about,
            event: self.event.clone(),
            detail: shown.collect::<Vec<_>>().join(" "),
        }
    }
}

fn ordered_adapter(order: &str) -> Option<&str> {
    let (_, named) = order.split_once(' ')?;
    named.split('@').next()
}
