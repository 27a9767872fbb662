use std::{fs, net::SocketAddr, path::Path, time::Duration};

use mimosabridge::config::{Bundle, Change, Document, Stamp, check};
use mimosabridge_cli::{ExitCode, Fault};
use mimosabridge_node::platform;
use snafu::{OptionExt, ResultExt};

use super::{Base, Command, Config, Directory};

/// Runs the command.
pub async fn run(config: Config) -> Result<ExitCode, Fault> {
    let base = read_base(&config.base).await?;
    match config.command {
        Command::Check { change } => {
            let checked = checked(&change, base.as_ref())?;
            let Some(change) = checked else { return Ok(ExitCode::Findings) };
            println!("consistent: puts {}, removes {}", change.put.len(), change.remove.len());
            Ok(ExitCode::Success)
        }
        Command::Build { change, out, settle } => {
            let checked = checked(&change, base.as_ref())?;
            let Some(change) = checked else { return Ok(ExitCode::Findings) };
            let bundle = build(base.as_ref(), &change, settle);
            Directory::new(out).write(&bundle, &change)?;
            println!("{}", bundle.stamp);
            Ok(ExitCode::Success)
        }
        Command::Show => {
            let base = base.whatever_context("name a configuration with --base or --platform")?;
            let text = serde_json::to_string_pretty(&base);
            println!("{}", text.whatever_context("the configuration cannot be printed")?);
            Ok(ExitCode::Success)
        }
    }
}

/// Reads and checks a change set. Prints the findings, and returns `None` if there are any.
fn checked(path: &Path, base: Option<&Bundle>) -> Result<Option<Change>, Fault> {
    let name = path.display();
    let text = fs::read_to_string(path).with_whatever_context(|_| format!("cannot read {name}"))?;
    let document = match Document::parse(&text) {
        Ok(document) => document,
        Err(error) => {
            println!("{name}: {error}");
            return Ok(None);
        }
    };
    let set = document.change.apply(&base.map(|it| it.set.clone()).unwrap_or_default());
    let mut findings = document.repeated;
    findings.extend(check(&set, &document.lines));
    for finding in &findings {
        println!("{name}: {finding}");
    }
    Ok(findings.is_empty().then_some(document.change))
}

fn build(base: Option<&Bundle>, change: &Change, settle: Option<Stamp>) -> Bundle {
    let bundle = match base {
        Some(base) => base.next(change.apply(&base.set)),
        None => Bundle::first(change.apply(&Default::default())),
    };
    match settle {
        Some(rival) => bundle.with_rival(rival),
        None => bundle,
    }
}

async fn read_base(base: &Base) -> Result<Option<Bundle>, Fault> {
    match base {
        Base::Nothing => Ok(None),
        Base::Directory(path) => Directory::new(path).read().map(Some),
        Base::Platform(address) => read_platform(*address).await,
    }
}

async fn read_platform(address: SocketAddr) -> Result<Option<Bundle>, Fault> {
    let client = platform::Client::new(address);
    let head = client.watch_head(0, Duration::ZERO).await;
    let head = head.with_whatever_context(|_| format!("cannot read the platform at {address}"))?;
    let Some((_, head)) = head else { return Ok(None) };
    let bundle = client.bundle(head, None).await;
    bundle.whatever_context("cannot read the published configuration").map(Some)
}
