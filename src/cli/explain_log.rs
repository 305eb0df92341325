//! `tamaracklead explain REQUEST --log FILE`.

use std::io;

use serde::Serialize;

use super::Exit;
use super::Failure;
use super::Input;
use super::LogLines;
use super::LogStep;
use super::Table;
use super::report::Output;
use crate::error::Error;
use crate::error::ErrorKind;

/// The story of one request.
#[derive(Debug, Serialize)]
struct Story<'a> {
    request: &'a str,
    steps: Vec<LogStep>,
    unreadable_lines: usize,
}

/// Shows what the logs of relays say of one request.
pub(super) fn run(request: &str, logs: &[Input], output: &mut Output<'_>) -> Result<Exit, Failure> {
    let mut lines = LogLines::default();
    for log in logs {
        lines.add(&log.name(), &log.read()?);
    }
    let steps = lines.story(request);
    if steps.is_empty() {
        let detail = format!("no line of request {request} in {} lines", lines.count());
        return Err(Failure::new(Exit::Failed, Error::new(ErrorKind::NotFound, detail)));
    }
    let unreadable_lines = lines.unreadable();
    output.report(&Story { request, steps, unreadable_lines }, show)?;
    Ok(Exit::Success)
}

fn show(story: &Story<'_>, output: &mut Output<'_>) -> io::Result<()> {
    let first = story.steps.first().map_or(0, |step| step.at_ms);
    let mut table = Table::new(&["MS", "INSTANCE", "EVENT", "WHAT"]);
    for step in &story.steps {
        let (time, instance) = (step.at_ms - first, step.instance.clone());
        table.row(vec![time.to_string(), instance, step.event.clone(), step.detail.clone()]);
    }
    output.table(&table)?;
    if story.unreadable_lines > 0 {
        output.line(format!("{} lines aren't events", story.unreadable_lines))?;
    }
    Ok(())
}
