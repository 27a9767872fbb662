use mimosabridge::config::{Document, Set};

/// The gates of the fixture with their data centres.
pub const GATES: [(&str, &str); 4] = [("ga1", "a"), ("ga2", "a"), ("gb1", "b"), ("gb2", "b")];

/// Returns a configuration of two data centres and three shards, with one replica per shard and
/// data centre and three slots per server.
pub fn config() -> Set {
    let mut text = String::from(
        r#"
        [[service]]
        name = "service"
        index = "index"
        slots = 3
        connections = 30
        connect_cost_ms = 6

        [[snapshot]]
        name = "s7"
        index = "index"
        version = 7
        shards = ["shard1", "shard2", "shard3"]

        [[rule]]
        name = "rule"
        index = "index"
        services = ["service"]
        class = "interactive"
        deadline_ms = 400
        "#,
    );
    for data_centre in ["a", "b"] {
        text.push_str(&format!("[[data_centre]]\nname = \"{data_centre}\"\nregion = \"r\"\n"));
        for number in 1..=3 {
            let port = if data_centre == "a" { 9_000 } else { 9_100 } + number;
            text.push_str(&format!(
                "[[server]]\nname = \"{data_centre}{number}\"\nservice = \"service\"\n\
                 data_centre = \"{data_centre}\"\naddress = \"10.0.0.1:{port}\"\n"
            ));
        }
    }
    for number in 1..=3 {
        text.push_str(&format!(
            "[[shard]]\nname = \"shard{number}\"\nservice = \"service\"\n\
             replicas = [\"a{number}\", \"b{number}\"]\n"
        ));
    }
    Document::parse(&text).expect("the fixture is valid TOML").change.put
}
