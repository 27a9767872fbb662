//! Runs the modelled platform: `mimosabridge-platform --listen 127.0.0.1:9900`.

use std::{fs, net::SocketAddr, path::Path, process};

use mimosabridge_cli::{Binary, ExitCode, Fault, Options};
use mimosabridge_standin::platform::{Platform, Store};
use snafu::ResultExt;

const USAGE: &str = "\
Runs the modelled platform: a configuration service and a list of VMs.

  --listen IP:PORT       where the platform listens (required)
  --load DIR             publish the files of a directory, each under its name
  --help                 this text";

struct Config {
    listen: SocketAddr,
    load: Option<String>,
}

fn main() -> process::ExitCode {
    Binary::new("mimosabridge-platform", USAGE).run(parse, |_| Some(1), run)
}

fn parse(mut options: Options) -> Result<Config, Fault> {
    let listen = options.required("--listen", SocketAddr::from(([127, 0, 0, 1], 0)));
    let load = options.optional("--load");
    options.finish()?;
    Ok(Config { listen, load })
}

async fn run(config: Config) -> Result<ExitCode, Fault> {
    let listen = config.listen;
    let platform = Platform::start(listen).await;
    let platform = platform.with_whatever_context(|_| format!("cannot listen on {listen}"))?;
    if let Some(directory) = config.load {
        publish(platform.store(), Path::new(&directory))
            .with_whatever_context(|_| format!("cannot read the directory {directory}"))?;
    }
    platform.run().await;
    Ok(ExitCode::Success)
}

fn publish(store: &Store, directory: &Path) -> std::io::Result<()> {
    for entry in fs::read_dir(directory)? {
        let entry = entry?;
        let value = fs::read_to_string(entry.path())?;
        store.put(&entry.file_name().to_string_lossy(), value);
    }
    Ok(())
}
