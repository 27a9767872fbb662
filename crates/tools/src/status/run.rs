use std::{net::SocketAddr, time::Duration};

use mimosabridge_cli::{ExitCode, Fault};
use mimosabridge_node::admin::Status;
use snafu::ResultExt;

use super::{Config, Row};

/// Timeout of a status request.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the status of the nodes and prints the table.
pub async fn run(config: Config) -> Result<ExitCode, Fault> {
    let http = reqwest::Client::builder().no_proxy().timeout(TIMEOUT).build();
    let http = http.whatever_context("cannot create the HTTP client")?;
    let mut rows = Vec::new();
    for address in config.nodes {
        let row = Row::new(&read(&http, address).await?);
        println!("{row}");
        rows.push(row);
    }
    let all_agree = rows.iter().all(|it| it.agrees(&rows[0]));
    Ok(if all_agree { ExitCode::Success } else { ExitCode::Findings })
}

async fn read(http: &reqwest::Client, address: SocketAddr) -> Result<Status, Fault> {
    let response = http.get(format!("http://{address}/status")).send().await;
    let response =
        response.with_whatever_context(|_| format!("cannot reach the node at {address}"))?;
    let status = response.json().await;
    status.with_whatever_context(|_| format!("the answer of {address} is not a status"))
}
