//! Sends one query to an entry and prints the answer.

use std::{net::SocketAddr, process};

use mimosabridge_cli::{Binary, ExitCode, Fault, Options};
use serde_json::{Value, json};
use snafu::ResultExt;

const USAGE: &str = "\
Sends one query to an entry and prints the answer.

  mimosabridge-query --entry IP:PORT --rule NAME [QUERY]

  --entry IP:PORT        where the entry takes callers (required)
  --rule NAME            the rule to be served by (required)
  --deadline-ms N        how long the answer is of use (as the rule says)
  --help                 this text

QUERY is any JSON, {} by default. Exit codes: 0 answered, 1 not answered, 2 wrong options.";

struct Config {
    entry: SocketAddr,
    rule: String,
    deadline_ms: Option<u64>,
    query: Value,
}

fn main() -> process::ExitCode {
    Binary::new("mimosabridge-query", USAGE).run(parse, |_| Some(1), run)
}

fn parse(mut options: Options) -> Result<Config, Fault> {
    let entry = options.required("--entry", SocketAddr::from(([127, 0, 0, 1], 0)));
    let rule = options.required("--rule", String::new());
    let deadline_ms = options.optional("--deadline-ms");
    let text = options.argument().unwrap_or_else(|| "{}".to_owned());
    let query = serde_json::from_str(&text).unwrap_or_else(|error| {
        options.reject(format!("the query is not JSON: {error}"));
        Value::Null
    });
    options.finish()?;
    Ok(Config { entry, rule, deadline_ms, query })
}

async fn run(config: Config) -> Result<ExitCode, Fault> {
    let mut body = json!({ "rule": config.rule, "query": config.query });
    if let Some(deadline) = config.deadline_ms {
        body["deadline_ms"] = deadline.into();
    }
    let url = format!("http://{}/v1/query", config.entry);
    let client = reqwest::Client::builder().no_proxy().build();
    let client = client.whatever_context("cannot create the HTTP client")?;
    let response = client.post(url).json(&body).send().await;
    let response =
        response.with_whatever_context(|_| format!("cannot reach the entry {}", config.entry))?;
    let answered = response.status().is_success();
    let answer: Value = response.json().await.whatever_context("the answer is not JSON")?;
    println!("{answer:#}");
    Ok(if answered { ExitCode::Success } else { ExitCode::Failure })
}
