//! Timeline of one request, from the logs of the relays that it passed.
//!
//! It holds the log lines of the request itself and, around that time, those on the adapters
//! it waited for, the replicas it was sent to and the instances it passed.

use std::collections::BTreeSet;

use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Time before a request's first line from which on other lines belong to its timeline.
const CONTEXT_BEFORE_MS: u64 = 2000;
/// Time after a request's last line up to which other lines belong to its timeline.
const CONTEXT_AFTER_MS: u64 = 500;

/// Events of a replica that can affect the requests sent to it.
const REPLICA_EVENTS: [&str; 6] = [
    "replica_known",
    "replica_removed",
    "replica_call_failed",
    "orders_held",
    "orders_taken_over",
    "orders_handed_over",
];
/// Events of an instance that can affect the requests in progress there.
const INSTANCE_EVENTS: [&str; 13] = [
    "started",
    "stopping",
    "stopped",
    "paused",
    "published_lost",
    "published_regained",
    "history_lost",
    "changes_lacked",
    "value_received",
    "value_lost",
    "config_taken",
    "log_lines_dropped",
    "prompt_part_quarantine",
];

/// Subject of a step in a timeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// The request itself.
    Request,
    /// An adapter that the request waited for.
    Adapter,
    /// A replica that the request was sent to.
    Replica,
    /// An instance that the request passed.
    Instance,
}

/// One step of a timeline, from one log line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LogStep {
    /// Time of the log line, in Unix milliseconds.
    pub at_ms: u64,
    /// Instance that wrote the log line.
    pub instance: String,
    /// Subject of the log line.
    pub about: Subject,
    /// Name of the event.
    pub event: String,
    /// Other fields of the event, as `name=value`.
    pub detail: String,
}

/// Event lines of several relay logs.
#[derive(Clone, Debug, Default)]
pub struct RelayLogs {
    lines: Vec<LogLine>,
    unreadable: usize,
}

#[derive(Clone, Debug)]
struct LogLine {
    at_ms: u64,
    instance: String,
    event: String,
    fields: Map<String, Value>,
}

impl RelayLogs {
    /// Adds the lines of a log; a line may have a prefix that ends with its instance's name.
    ///
    /// Lines without a prefix belong to the instance of the last `started` event before them,
    /// and to `source` if there is none. Lines without `{` are skipped.
    pub fn add_log(&mut self, source: &str, text: &str) {
        let mut instance = source.to_owned();
        for text in text.lines() {
            let Some(start) = text.find('{') else { continue };
            let (prefix, json) = text.split_at(start);
            match LogLine::parse(prefix, json, &mut instance) {
                Some(line) => self.lines.push(line),
                None => self.unreadable += 1,
            }
        }
    }

    /// Number of event lines.
    pub fn count(&self) -> usize {
        self.lines.len()
    }

    /// Number of lines with `{` that aren't events.
    pub fn unreadable(&self) -> usize {
        self.unreadable
    }

    /// Steps of a request, by time; empty if no line has its id.
    pub fn timeline(&self, request: &str) -> Vec<LogStep> {
        let request_lines: Vec<&LogLine> =
            self.lines.iter().filter(|line| line.str_field("id") == Some(request)).collect();
        let times = request_lines.iter().map(|line| line.at_ms);
        let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
            return Vec::new();
        };
        let values_of =
            |field| request_lines.iter().filter_map(|line| line.str_field(field)).collect();
        let adapters: BTreeSet<&str> = values_of("adapter");
        let replicas: BTreeSet<&str> = values_of("replica");
        let instances: BTreeSet<&str> =
            request_lines.iter().map(|line| line.instance.as_str()).collect();
        let window =
            first.saturating_sub(CONTEXT_BEFORE_MS)..=last.saturating_add(CONTEXT_AFTER_MS);
        let subject_of = |line: &LogLine| {
            if line.str_field("id") == Some(request) {
                return Some(Subject::Request);
            }
            if !window.contains(&line.at_ms) {
                return None;
            }
            line.subject(&adapters, &replicas, &instances)
        };
        let mut steps: Vec<LogStep> =
            self.lines.iter().filter_map(|line| Some(line.to_step(subject_of(line)?))).collect();
        steps.sort_by_key(|step| step.at_ms);
        steps
    }
}

impl LogLine {
    fn parse(prefix: &str, json: &str, instance: &mut String) -> Option<Self> {
        let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let at_ms = fields.remove("at_ms")?.as_u64()?;
        let event = fields.remove("event")?.as_str()?.to_owned();
        if event == "started"
            && let Some(name) = fields.get("instance").and_then(Value::as_str)
        {
            name.clone_into(instance);
        }
        let prefix_name = prefix.split_whitespace().last();
        let instance = prefix_name.unwrap_or(instance.as_str()).to_owned();
        Some(Self { at_ms, instance, event, fields })
    }

    fn str_field(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    fn subject(
        &self,
        adapters: &BTreeSet<&str>,
        replicas: &BTreeSet<&str>,
        instances: &BTreeSet<&str>,
    ) -> Option<Subject> {
        let event = self.event.as_str();
        let is_of_adapter = |adapter: &str| match event {
            "load_late" => self.str_field("adapter") == Some(adapter),
            "order_given" => {
                self.str_field("order").is_some_and(|order| is_order_for(order, adapter))
            }
            _ => false,
        };
        if adapters.iter().any(|adapter| is_of_adapter(adapter)) {
            return Some(Subject::Adapter);
        }
        let of_replica =
            self.str_field("replica").is_some_and(|replica| replicas.contains(replica));
        if of_replica && REPLICA_EVENTS.contains(&event) {
            return Some(Subject::Replica);
        }
        let of_instance = instances.contains(self.instance.as_str());
        (of_instance && INSTANCE_EVENTS.contains(&event)).then_some(Subject::Instance)
    }

    fn to_step(&self, about: Subject) -> LogStep {
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

/// Whether an order, `KIND ADAPTER` or `KIND ADAPTER@VERSION`, is for this adapter, whose name may have
/// `@` and blanks.
fn is_order_for(order: &str, adapter: &str) -> bool {
    let Some((_, ordered)) = order.split_once(' ') else { return false };
    match ordered.strip_prefix(adapter) {
        Some("") => true,
        Some(rest) => rest.strip_prefix('@').is_some_and(|version| version.parse::<u64>().is_ok()),
        None => false,
    }
}
