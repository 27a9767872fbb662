//! The example files and the site models are consistent configurations.

use mimosabridge::config::{Document, check};
use mimosabridge_standin::site::Site;
use rstest::rstest;

#[test]
fn small_example() {
    let document = Document::parse(include_str!("../../../../examples/small.toml"));
    let document = document.expect("the example is valid TOML");
    assert_eq!(check(&document.change.put, &document.lines), []);
}

#[rstest]
#[case::riego("riego", 127, 3)]
#[case::consorzio("consorzio", 102, 4)]
#[case::wide("wide-20", 20, 1)]
fn site_model(#[case] name: &str, #[case] servers: usize, #[case] data_centres: usize) {
    let site = Site::by_name(name).expect("the site is known");
    let set = site.config(([127, 0, 0, 1], 9_000).into());
    assert_eq!(check(&set, &Default::default()), []);
    assert_eq!((set.servers.len(), set.data_centres.len()), (servers, data_centres));
}
