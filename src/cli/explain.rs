//! `tamaracklead explain REQUEST`.

use std::io;

use super::Access;
use super::Exit;
use super::Failure;
use super::Table;
use super::instances::Instances;
use super::report::Output;
use crate::names::RequestId;
use crate::wire::operator::Explanation;

/// Shows where one request went and why.
pub(super) async fn run(
    request_id: RequestId,
    access: &Access,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let path = format!("/operator/v1/requests/{request_id}");
    let explanation: Explanation = Instances::new(access)?.get(&path).await?;
    output.report(&explanation, show)?;
    Ok(Exit::Success)
}

fn show(explanation: &Explanation, output: &mut Output<'_>) -> io::Result<()> {
    let mut table = Table::new(&["INSTANCE", "MS", "DECISION"]);
    for step in &explanation.steps {
        table.row(vec![step.instance.to_string(), step.at_ms.to_string(), step.text.clone()]);
    }
    output.table(&table)
}
