//! All findings in a configuration are reported, with their locations.

use mimosabridge::config::{Document, check};

use crate::simulation;

#[test]
fn fixture_consistent() {
    assert_eq!(check(&simulation::config(), &Default::default()), []);
}

#[test]
fn all_findings() {
    let text = r#"
[[service]]
name = "service"
index = "index"
slots = 0
connections = 30
connect_cost_ms = 6

[[server]]
name = "one"
service = "servce"
data_centre = "nowhere"
address = "10.0.0.1:9000"

[[shard]]
name = "shard"
service = "service"
replicas = ["one", "one", "two"]

[[rule]]
name = "rule"
index = "other"
services = []
class = "batch"
deadline_ms = 0
hedge_quantile = 1.5
"#;
    let document = Document::parse(text).expect("the text is valid TOML");
    let findings = check(&document.change.put, &document.lines);
    let messages: Vec<_> = findings.iter().map(ToString::to_string).collect();
    let expected = [
        "line 2: service \"service\", field `cold_slots`: 1 is more than the 0 slots of a warm \
         server; lower it",
        "line 2: service \"service\", field `slots`: must be at least 1",
        "line 9: server \"one\", field `data_centre`: there is no data_centre \"nowhere\"; add it \
         or correct the name",
        "line 9: server \"one\", field `service`: there is no service \"servce\"; add it or \
         correct the name",
        "line 15: shard \"shard\", field `replicas`: \"one\" is listed twice; remove one",
        "line 15: shard \"shard\", field `replicas`: server \"one\" belongs to service \
         \"servce\", the shard to \"service\"",
        "line 15: shard \"shard\", field `replicas`: server \"one\" belongs to service \
         \"servce\", the shard to \"service\"",
        "line 15: shard \"shard\", field `replicas`: there is no server \"two\"; add it or \
         correct the name",
        "line 20: rule \"rule\", field `deadline_ms`: must be at least 1",
        "line 20: rule \"rule\", field `hedge_quantile`: 1.5 is not between 0 and 1",
        "line 20: rule \"rule\", field `index`: index \"other\" has no snapshot; add one",
        "line 20: rule \"rule\", field `services`: the rule has no service; name at least one",
    ];
    assert_eq!(messages, expected);
}

#[test]
fn repeated_name() {
    let text = "[[data_centre]]\nname = \"a\"\nregion = \"r\"\n\
                [[data_centre]]\nname = \"a\"\nregion = \"s\"\n";
    let document = Document::parse(text).expect("the text is valid TOML");
    let messages: Vec<_> = document.repeated.iter().map(ToString::to_string).collect();
    let expected = "line 4: data_centre \"a\", field `name`: already defined in line 1; give one \
                    of them another name";
    assert_eq!(messages, [expected]);
}

#[test]
fn unknown_field() {
    let error = Document::parse("[[data_centre]]\nname = \"a\"\nregoin = \"r\"\n");
    let message = error.expect_err("the field does not exist").to_string();
    assert!(message.contains("line 3"), "{message}");
    assert!(message.contains("regoin"), "{message}");
}
