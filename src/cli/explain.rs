//! `tamaracklead explain REQUEST`: the path of one request, from the instances.

use std::io;

use super::Endpoints;
use super::Exit;
use super::Failure;
use super::Table;
use super::instance_client::InstanceClient;
use super::output::Output;
use crate::names::RequestId;
use crate::wire::operator::Explanation;

/// Writes the decisions on one request, as the fleet recorded them.
pub(super) async fn run(
    request_id: RequestId,
    endpoints: &Endpoints,
    output: &mut Output<'_>,
) -> Result<Exit, Failure> {
    let path = format!("/operator/v1/requests/{request_id}");
    let explanation: Explanation = InstanceClient::new(endpoints)?.get_json(&path).await?;
    output.write_report(&explanation, write_text)?;
    Ok(Exit::Success)
}

fn write_text(explanation: &Explanation, output: &mut Output<'_>) -> io::Result<()> {
    let mut table = Table::new(&["INSTANCE", "MS", "DECISION"]);
    for step in &explanation.steps {
        table.push_row(vec![step.instance.to_string(), step.at_ms.to_string(), step.text.clone()]);
    }
    output.write_table(&table)
}
