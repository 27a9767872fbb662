use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
};

use mimosabridge_cli::{ExitCode, Fault};
use snafu::ResultExt;

use super::{Config, Explanation, Line, Reader};

/// Reads the files and prints the explanation.
pub async fn run(config: Config) -> Result<ExitCode, Fault> {
    let mut lines = Vec::new();
    for file in &config.files {
        let found = read(file).with_whatever_context(|_| format!("cannot read {}", file.display()));
        lines.extend(found?);
    }
    let Some(explanation) = Explanation::new(&config.id, &lines, config.before) else {
        eprintln!(
            "no line of {} has the id {}: one of 64 served requests is logged, and a request that no \
             node read has none",
            config.files.iter().map(|it| it.display().to_string()).collect::<Vec<_>>().join(", "),
            config.id
        );
        return Ok(ExitCode::Findings);
    };
    println!("{explanation}");
    Ok(ExitCode::Success)
}

fn read(file: &Path) -> io::Result<Vec<Line>> {
    let mut reader = Reader::new(&file.display().to_string());
    let input: Box<dyn BufRead> = if file == Path::new("-") {
        Box::new(io::stdin().lock())
    } else {
        Box::new(BufReader::new(File::open(file)?))
    };
    // The reader skips lines of other programs.
    let mut lines = Vec::new();
    for text in input.lines() {
        lines.extend(reader.read(&text?));
    }
    Ok(lines)
}
