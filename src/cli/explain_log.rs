//! `tamaracklead explain REQUEST --log FILE`: the timeline of one request, from relay logs.

use std::io;

use serde::Serialize;

use super::Exit;
use super::Failure;
use super::Input;
use super::LogStep;
use super::RelayLogs;
use super::Table;
use super::output::Output;
use crate::error::Error;
use crate::error::ErrorKind;

/// Report on one request.
#[derive(Debug, Serialize)]
struct Timeline<'a> {
    request: &'a str,
    steps: Vec<LogStep>,
    unreadable_lines: usize,
}

/// Writes the timeline of one request; fails if no log line names it.
pub(super) fn run(request: &str, logs: &[Input], output: &mut Output<'_>) -> Result<Exit, Failure> {
    let mut relay_logs = RelayLogs::default();
    for log in logs {
        relay_logs.add_log(&log.name(), &log.read()?);
    }
    let steps = relay_logs.timeline(request);
    if steps.is_empty() {
        let detail = format!("no line of request {request} in {} lines", relay_logs.count());
        return Err(Failure::new(Exit::Failed, Error::new(ErrorKind::NotFound, detail)));
    }
    let unreadable_lines = relay_logs.unreadable();
    output.write_report(&Timeline { request, steps, unreadable_lines }, write_text)?;
    Ok(Exit::Success)
}

fn write_text(timeline: &Timeline<'_>, output: &mut Output<'_>) -> io::Result<()> {
    let first = timeline.steps.first().map_or(0, |step| step.at_ms);
    let mut table = Table::new(&["MS", "INSTANCE", "EVENT", "WHAT"]);
    for step in &timeline.steps {
        let (time, instance) = (step.at_ms - first, step.instance.clone());
        table.push_row(vec![time.to_string(), instance, step.event.clone(), step.detail.clone()]);
    }
    output.write_table(&table)?;
    if timeline.unreadable_lines > 0 {
        output.write_line(format!("{} lines aren't events", timeline.unreadable_lines))?;
    }
    Ok(())
}
