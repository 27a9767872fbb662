//! Options from flags and environment variables, with all findings reported.

use std::{collections::BTreeMap, net::SocketAddr};

use mimosabridge_cli::{Fault, Options};

fn options(args: &[&str], env: &[(&str, &str)]) -> Options {
    let args = args.iter().map(Into::into).collect();
    let env: BTreeMap<_, _> =
        env.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect();
    Options::new(args, env)
}

fn findings(options: Options) -> Vec<String> {
    match options.finish() {
        Ok(()) => Vec::new(),
        Err(fault) => fault.lines(),
    }
}

#[test]
fn flag_precedence() {
    let env = [("MIMOSABRIDGE_DRAIN_MS", "7"), ("MIMOSABRIDGE_THREADS", "3")];
    let mut options = options(&["--drain-ms", "9"], &env);
    assert_eq!(options.or("--drain-ms", 1), 9);
    assert_eq!(options.optional("--threads"), Some(3));
    assert_eq!(options.or("--rounds", 5), 5);
    assert_eq!(findings(options), Vec::<String>::new());
}

#[test]
fn all_findings() {
    let mut options = options(&["--listen", "here", "--sedes", "--ports", "1,x,3"], &[]);
    let any = SocketAddr::from(([0, 0, 0, 0], 0));
    options.required("--name", String::new());
    options.required("--listen", any);
    let ports: Vec<u16> = options.list("--ports");
    assert_eq!(ports, [1, 3]);
    let expected = [
        "`--name` is missing; give it or set MIMOSABRIDGE_NAME",
        "`--listen here` is not valid: invalid socket address syntax",
        "`x` in `--ports` is not valid: invalid digit found in string",
        "`--sedes` is not an option; see `--help`",
    ];
    assert_eq!(findings(options), expected);
}

#[test]
fn arguments_in_order() {
    let mut options = options(&["build", "--out", "dir", "change.toml"], &[]);
    assert_eq!(options.optional::<String>("--out").as_deref(), Some("dir"));
    assert_eq!(options.argument().as_deref(), Some("build"));
    assert_eq!(options.argument().as_deref(), Some("change.toml"));
    assert_eq!(options.argument(), None);
    assert!(matches!(options.finish(), Ok(())));
}

#[test]
fn value_missing() {
    let mut options = options(&["--name"], &[]);
    options.required("--name", String::new());
    let Err(Fault::Options { findings }) = options.finish() else { panic!("no error returned") };
    assert!(findings[0].contains("--name"), "{findings:?}");
}
