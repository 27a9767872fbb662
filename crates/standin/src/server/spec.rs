use std::time::Duration;

/// The parameters of a modelled server.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Requests that a warm server runs at once.
    pub slots: u32,
    /// Requests that a cold server runs at once without slowing down further.
    pub cold_slots: u32,
    /// The most connections that the server accepts.
    pub connections: u32,
    /// The time that it takes to open a connection.
    pub connect_cost: Duration,
    /// The median run time of a request on a warm server.
    pub service_time: Duration,
    /// The share of requests that straggle, from 0 to 1.
    pub straggle: f64,
    /// How many times longer a straggler runs.
    pub straggle_factor: f64,
    /// Requests that a cold server must finish to become warm.
    pub warm_up_requests: u32,
    /// How many times longer a request runs on a cold server.
    pub cold_factor: f64,
    /// The network delay that is added to each reply.
    pub network_delay: Duration,
    /// The versions of the index that the server holds at first.
    pub holds: Vec<u64>,
    /// The seed of the random run times, and the first boot number.
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
            warm_up_requests: 20,
            cold_factor: 4.0,
            network_delay: Duration::ZERO,
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
