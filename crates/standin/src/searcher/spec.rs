use std::time::Duration;

/// What a modelled server is like.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Requests that run at once when the server is warm.
    pub slots: u32,
    /// Requests that a cold server bears at once.
    pub cold_slots: u32,
    /// Connections that the server accepts.
    pub connections: u32,
    /// What a new connection costs.
    pub connect_cost: Duration,
    /// The median time that a request runs on a warm server.
    pub service_time: Duration,
    /// The part of requests that straggle, from 0 to 1.
    pub straggle: f64,
    /// How many times longer a straggler runs.
    pub straggle_factor: f64,
    /// Requests that a cold server must finish to become warm.
    pub cold_work: u32,
    /// How many times longer a request runs on a cold server.
    pub cold_factor: f64,
    /// The network delay that is added to each reply.
    pub network: Duration,
    /// The versions of the index that the server holds at first.
    pub holds: Vec<u64>,
    /// Seed of the random times.
    pub seed: u64,
}

impl Spec {
    /// Creates a server like those of dispatch boards: three slots and 30 connections.
    pub fn new() -> Spec {
        Spec {
            slots: 3,
            cold_slots: 1,
            connections: 30,
            connect_cost: Duration::from_millis(6),
            service_time: Duration::from_millis(4),
            straggle: 0.01,
            straggle_factor: 10.0,
            cold_work: 20,
            cold_factor: 4.0,
            network: Duration::ZERO,
            holds: vec![1],
            seed: 1,
        }
    }
}

impl Default for Spec {
    fn default() -> Spec {
        Spec::new()
    }
}
