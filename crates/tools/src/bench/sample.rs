use std::{hint::black_box, time::Instant};

use serde_json::{Value, json};

/// Rounds of a measurement. The fastest counts, which limits the influence of other work on the
/// machine.
const ROUNDS: usize = 7;

/// The measured time of one operation.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The name of the operation.
    pub name: String,
    /// Microseconds per operation in the fastest round.
    pub micros: f64,
}

impl Sample {
    /// Measures an operation that runs `count` times in each round.
    pub fn measure<T>(
        name: impl Into<String>,
        count: usize,
        mut operation: impl FnMut() -> T,
    ) -> Sample {
        let mut fastest = f64::INFINITY;
        for _ in 0..ROUNDS {
            let begun = Instant::now();
            for _ in 0..count {
                black_box(operation());
            }
            let micros = begun.elapsed().as_secs_f64() * 1e6 / count as f64;
            fastest = fastest.min(micros);
        }
        Sample { name: name.into(), micros: fastest }
    }

    /// Prints the result as a JSON object.
    pub fn print(&self) {
        print(json!({ "name": self.name, "micros": round(self.micros) }));
    }
}

/// Prints a result as one line of JSON.
pub fn print(value: Value) {
    println!("{value}");
}

/// Rounds to three decimals.
pub fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
