use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Progress {
    pub position: Position,
    pub urgent: Position,
    pub version: u64,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Position {
    pub era: u64,
    pub revision: u64,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Update {
    All(Snapshot),
    Since(Snapshot),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    pub position: Position,
    pub facts: Vec<Fact>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Fact {
    Plan(Spec),
    Server(Entry),
    Gone(String),
    Lapsed(String),
    Closed(String),
    Opened(String),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub data_centre: String,
    pub slots: u32,
    pub is_draining: bool,
    pub cold: Duration,
    pub born: u64,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Spec {
    pub version: u64,
    pub limits: Limits,
    pub rules: Vec<Rule>,
    pub services: Vec<Service>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limits {
    pub head_bytes: usize,
    pub body_bytes: usize,
    pub head_time: Duration,
    pub idle_time: Duration,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rule {
    pub name: String,
    pub host: String,
    pub prefix: String,
    pub repeat: Repeat,
    pub attempts: u32,
    pub timeout: Duration,
    pub objective: Duration,
    pub priority: u32,
    pub target: Target,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Repeat {
    Idempotent,
    Once,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Target {
    One(String),
    Split(Vec<Share>),
    All(Gather),
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Share {
    pub service: String,
    pub weight: f64,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Gather {
    pub shards: Vec<String>,
    pub top: usize,
    pub least: f64,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Service {
    pub name: String,
    pub health_path: String,
    pub connections: u32,
    pub warm_up: Duration,
    pub cold_rate: f64,
}
