//! Change sets are checked, and the configuration that operators publish is built.

use std::{
    fs,
    path::{Path, PathBuf},
};

use mimosabridge::config::{Bundle, Stamp};
use mimosabridge_cli::ExitCode;
use mimosabridge_standin::platform::Platform;
use mimosabridge_tools::config::{Base, Command, Config, Directory, run};

const FIRST: &str = "[[data_centre]]\nname = \"a\"\nregion = \"r\"\n";
const SECOND: &str = "[[data_centre]]\nname = \"b\"\nregion = \"r\"\n";
const RIVAL: &str = "[[data_centre]]\nname = \"c\"\nregion = \"r\"\n";
const BROKEN: &str = "[[shard]]\nname = \"s\"\nservice = \"none\"\nreplicas = []\n";

/// A temporary directory that is removed at the end of its test.
struct TempDir {
    path: PathBuf,
}

impl TempDir {
    fn new(name: &str) -> TempDir {
        let path = std::env::temp_dir().join(format!("mimosabridge-{}-{name}", std::process::id()));
        fs::create_dir_all(&path).expect("the directory can be created");
        TempDir { path }
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path.join(name);
        fs::write(&path, text).expect("the file can be written");
        path
    }

    fn out(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}

async fn build(base: Base, change: PathBuf, out: &Path, settle: Option<Stamp>) -> Bundle {
    let command = Command::Build { change, out: out.to_owned(), settle };
    let code = run(Config { command, base }).await.expect("it can be built");
    assert_eq!(code, ExitCode::Success);
    Directory::new(out).read().expect("it was written")
}

#[tokio::test]
async fn builds_on_base() {
    let temp_dir = TempDir::new("builds-on-base");
    let (first, second) = (temp_dir.out("first"), temp_dir.out("second"));
    let one = build(Base::Nothing, temp_dir.file("1.toml", FIRST), &first, None).await;
    let base = Base::Directory(first);
    let two = build(base, temp_dir.file("2.toml", SECOND), &second, None).await;
    assert_eq!((one.stamp.version, two.stamp.version), (1, 2));
    assert!(two.follows(one.stamp));
    assert_eq!(two.set.data_centres.len(), 2);
}

#[tokio::test]
async fn builds_on_platform() {
    let temp_dir = TempDir::new("builds-on-platform");
    let platform = Platform::start(([127, 0, 0, 1], 0).into()).await.expect("a port is free");
    let one = build(Base::Nothing, temp_dir.file("1.toml", FIRST), &temp_dir.out("1"), None).await;
    assert!(platform.store().publish(&one, &Default::default()));
    let base = Base::Platform(platform.address());
    let two = build(base, temp_dir.file("2.toml", SECOND), &temp_dir.out("2"), None).await;
    assert!(two.follows(one.stamp));
}

#[tokio::test]
async fn settles_rivals() {
    let temp_dir = TempDir::new("settles-rivals");
    let root = temp_dir.out("1");
    build(Base::Nothing, temp_dir.file("1.toml", FIRST), &root, None).await;
    let base = || Base::Directory(root.clone());
    let two = build(base(), temp_dir.file("2.toml", SECOND), &temp_dir.out("2"), None).await;
    let rival = build(base(), temp_dir.file("r.toml", RIVAL), &temp_dir.out("r"), None).await;
    let base = Base::Directory(temp_dir.out("2"));
    let change = temp_dir.file("3.toml", RIVAL);
    let three = build(base, change, &temp_dir.out("3"), Some(rival.stamp)).await;
    assert!(three.follows(two.stamp) && three.follows(rival.stamp));
}

#[tokio::test]
async fn findings_refused() {
    let temp_dir = TempDir::new("findings-refused");
    let change = temp_dir.file("broken.toml", BROKEN);
    let out = temp_dir.out("out");
    let command = Command::Build { change: change.clone(), out: out.clone(), settle: None };
    let code = run(Config { command, base: Base::Nothing }).await.expect("it is read");
    assert_eq!(code, ExitCode::Findings);
    assert!(!out.exists(), "nothing is written");
    let config = Config { command: Command::Check { change }, base: Base::Nothing };
    assert_eq!(run(config).await.expect("it is read"), ExitCode::Findings);
}

#[tokio::test]
async fn missing_file() {
    let command = Command::Check { change: "no-such-file.toml".into() };
    let fault = run(Config { command, base: Base::Nothing }).await.expect_err("it is missing");
    assert!(fault.lines()[0].contains("no-such-file.toml"), "{:?}", fault.lines());
}
