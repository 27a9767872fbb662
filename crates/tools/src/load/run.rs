use std::{collections::BTreeMap, net::SocketAddr};

use mimosabridge_cli::{ExitCode, Fault};
use mimosabridge_standin::{server::Stats, site::Workload};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;
use snafu::ResultExt;
use tokio::{task::JoinHandle, time::Instant};

use super::{
    Config, Report, Tally,
    caller::{Caller, interval, timeout},
    report::Load,
};
use crate::usage::Usage;

/// Generates the load and prints a report for each rule and the usage of each process.
pub async fn run(config: Config) -> Result<ExitCode, Fault> {
    let http = reqwest::Client::builder().no_proxy().build();
    let http = http.whatever_context("cannot create the HTTP client")?;
    let mut tallies = BTreeMap::new();
    let mut tasks = Vec::new();
    for (number, workload) in config.site.workloads(config.scale).into_iter().enumerate() {
        if !config.rules.is_empty() && !config.rules.contains(&workload.rule) {
            continue;
        }
        let tally = Tally::new();
        tallies.insert(workload.rule.clone(), tally.clone());
        let seed = config.seed * 1_000 + number as u64;
        tasks.push(start(http.clone(), config.entries.clone(), workload, seed, tally));
    }
    tokio::time::sleep(config.warm_up).await;
    if let Some(fault) = config.fault {
        let servers = config.site.servers(config.servers);
        let addresses = servers.into_iter().map(|(server, _)| server.address).collect();
        let faults = fault.repeat(http.clone(), addresses, config.fault_period, config.seed);
        tasks.push(tokio::spawn(faults));
    }
    let before = stats(&http, &config).await?;
    let used = usage(&config.processes);
    tallies.values().for_each(|it| drop(it.take()));
    tokio::time::sleep(config.counted).await;
    let counts: Vec<_> = tallies.into_iter().map(|(rule, it)| (rule, it.take())).collect();
    let using = usage(&config.processes);
    let after = stats(&http, &config).await?;
    tasks.iter().for_each(JoinHandle::abort);
    for (rule, counts) in counts {
        let empty = Vec::new();
        let of = |it: &BTreeMap<String, Vec<Stats>>| it.get(&rule).unwrap_or(&empty).clone();
        let load = Load::between(&of(&before), &of(&after), config.counted);
        let report = Report::new(rule.clone(), counts, load, config.counted);
        let text = serde_json::to_string(&report);
        println!("{}", text.whatever_context("the report cannot be written as JSON")?);
    }
    for ((process, before), (_, after)) in used.into_iter().zip(using) {
        let cpu = (after.cpu - before.cpu).as_secs_f64() / config.counted.as_secs_f64();
        let memory = after.resident as f64 / 1e6;
        println!("{}", json!({ "process": process, "cores": cpu, "memory_mb": memory }));
    }
    Ok(ExitCode::Success)
}

fn usage(processes: &[u32]) -> Vec<(u32, Usage)> {
    let usage = |it: &u32| Some((*it, Usage::of(&it.to_string())?));
    processes.iter().filter_map(usage).collect()
}

/// Starts the callers of one rule.
fn start(
    http: reqwest::Client,
    entries: Vec<SocketAddr>,
    workload: Workload,
    seed: u64,
    tally: Tally,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut due = Instant::now();
        let mut number = seed << 32;
        loop {
            due += interval(workload.rate, &mut rng);
            number += 1;
            tokio::time::sleep_until(due).await;
            let caller = Caller {
                http: http.clone(),
                entry: entries[rng.random_range(0..entries.len())],
                rule: workload.rule.clone(),
                number,
                due,
                timeout: timeout(&workload, &mut rng),
                tally: tally.clone(),
            };
            tokio::spawn(caller.call());
        }
    })
}

/// Reads the counts of every server, by the rule that covers it.
async fn stats(
    http: &reqwest::Client,
    config: &Config,
) -> Result<BTreeMap<String, Vec<Stats>>, Fault> {
    let set = config.site.config(config.servers);
    let mut stats: BTreeMap<String, Vec<Stats>> = BTreeMap::new();
    for server in set.servers.values() {
        let url = format!("http://{}/stats", server.address);
        let response = http.get(url).send().await;
        let response = response
            .with_whatever_context(|_| format!("cannot reach the server at {}", server.address))?;
        let counted = response.json().await;
        let counted = counted.whatever_context("the counts of a server cannot be read")?;
        let rules = set.rules.values().filter(|it| it.services.contains(&server.service));
        for rule in rules {
            stats.entry(rule.name.to_string()).or_default().push(Stats::clone(&counted));
        }
    }
    Ok(stats)
}
