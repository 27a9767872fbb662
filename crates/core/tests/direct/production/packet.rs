use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::update::Progress;

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Packet {
    pub from: Record,
    pub kind: Kind,
    pub config: Option<Stamp>,
    pub progress: Option<Progress>,
    pub platform_age: u16,
    pub reach_age: Option<u8>,
    pub roster: u32,
    pub news: Vec<News>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Kind {
    Ping(u32),
    Ack(u32),
    PingFor { number: u32, target: Record },
    Push,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    pub name: String,
    pub data_centre: String,
    pub roles: Roles,
    pub peer: SocketAddr,
    pub rpc: SocketAddr,
    pub incarnation: Incarnation,
    pub state: State,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Roles {
    pub entry: bool,
    pub gate: bool,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Incarnation {
    pub boot: u64,
    pub refutation: u32,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum State {
    Alive,
    Suspect,
    Leaving,
    Dead,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Stamp {
    pub version: u64,
    pub digest: u128,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum News {
    Member(Record),
    State(Mark),
    Config { stamp: Stamp, in_force: bool },
    Leaving { server: String, round: u32 },
    Evidence { fingerprint: u64, evidence: Evidence },
    Restriction { restriction: Restriction, left_millis: u32 },
    Unlimited(Vec<u32>),
    Seen(Vec<Sample>),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Mark {
    pub key: u32,
    pub boot: u32,
    pub refutation: u32,
    pub state: State,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Evidence {
    Crash(Crash),
    Cleared(u32, u32),
    Quarantined(u32),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Crash {
    pub server: String,
    pub service: u32,
    pub born: u64,
    pub age_millis: u32,
    pub is_repeat: bool,
    pub weight: u8,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Restriction {
    Closed(String),
    Retired { server: String, born: u64 },
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Sample {
    pub server: u32,
    pub tally: Tally,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Tally {
    pub answers: u16,
    pub slow: u16,
    pub failures: u16,
}
