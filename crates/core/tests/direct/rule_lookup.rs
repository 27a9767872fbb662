//! Lookup of the rule that serves a request.

use mimosabridge::{
    name::Name,
    plan::{Gather, Limits, Plan, Rule, Spec, Target},
};
use rstest::rstest;

use crate::fixture::rule;

fn plan() -> Plan {
    let to = |prefix: &str, service: &str| Rule {
        prefix: Name::new(prefix),
        ..rule(service, Target::One(Name::new(service)))
    };
    let rules = vec![to("/a/", "short"), to("/a/b/", "long"), to("/c/", "other")];
    Plan::new(Spec { version: 3, limits: Limits::default(), rules, services: Vec::new() })
}

#[rstest]
#[case::longest("search.example", "/a/b/c", Some("long"))]
#[case::shorter("search.example", "/a/x", Some("short"))]
#[case::exact("search.example", "/a/", Some("short"))]
#[case::without_slash("search.example", "/a", None)]
#[case::port_ignored("search.example:8080", "/c/1", Some("other"))]
#[case::case_ignored("Search.Example", "/c/1", Some("other"))]
#[case::unknown_host("other.example", "/c/1", None)]
#[case::unknown_path("search.example", "/d/1", None)]
fn longest_prefix(#[case] host: &str, #[case] path: &str, #[case] expected: Option<&str>) {
    let plan = plan();
    let found = plan.find(host, path).map(|it| it.name.as_str().to_owned());
    assert_eq!(found.as_deref(), expected);
}

#[rstest]
#[case(10, 0.89, 9)]
#[case(10, 0.9, 9)]
#[case(10, 0.75, 8)]
#[case(15, 0.75, 12)]
#[case(15, 0.89, 14)]
#[case(3, 1.0, 3)]
#[case(3, 0.0, 1)]
fn needed_shards(#[case] shards: usize, #[case] least: f64, #[case] needed: usize) {
    let shards = (0..shards).map(|it| Name::new(it.to_string())).collect();
    assert_eq!(Gather { shards, top: 1, least }.needed(), needed);
}
