//! Jobs of the soak.

use rand::Rng;
use rand::rngs::StdRng;
use serde_json::json;
use std::collections::BTreeSet;

/// A job whose steps run one after the other.
#[derive(Clone, Debug)]
pub struct Job {
    /// Number of units of each step.
    steps: Vec<u32>,
    unit_ms: u64,
}

impl Job {
    pub fn draw(rng: &mut StdRng) -> Job {
        let steps = (0..rng.random_range(1..3)).map(|_| rng.random_range(1..4)).collect();
        Job { steps, unit_ms: rng.random_range(20..400) }
    }

    pub fn body(&self) -> String {
        let step = |(number, count): (usize, &u32)| {
            let after: Vec<usize> = number.checked_sub(1).into_iter().collect();
            json!({
                "count": count, "cpu": 200, "mem_mb": 10, "est_runtime_ms": self.unit_ms,
                "after": after,
            })
        };
        let steps: Vec<_> = self.steps.iter().enumerate().map(step).collect();
        json!({"spec": self.unit_ms.to_string(), "steps": steps}).to_string()
    }

    pub fn units(&self, id: &str) -> BTreeSet<String> {
        let of_step = |(step, count): (usize, &u32)| {
            (0..*count).map(move |index| format!("{id}.0.{step}.{index}")).collect::<Vec<_>>()
        };
        self.steps.iter().enumerate().flat_map(of_step).collect()
    }
}
