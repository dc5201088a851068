//! Jobs of the soak.

use platform_standin::LASTING;
use rand::Rng;
use rand::rngs::StdRng;
use serde_json::json;

/// Resources of a unit that lasts, in thousandths of a core.
const LASTING_CPU_MILLI: u64 = 100;

/// A job whose steps run one after the other.
#[derive(Clone, Debug)]
pub struct Job {
    /// Number of units of each step.
    steps: Vec<u32>,
    /// Duration of each unit; `None` if they last.
    unit_ms: Option<u64>,
    cpu_milli: u64,
}

/// A unit of a job.
#[derive(Clone, Debug)]
pub struct Unit {
    pub name: String,
    pub step: usize,
    pub cpu_milli: u64,
    pub lasts: bool,
}

impl Job {
    pub fn draw(rng: &mut StdRng, cpu_milli: u64) -> Job {
        let steps = (0..rng.random_range(1..3)).map(|_| rng.random_range(1..4)).collect();
        let is_long = rng.random_bool(1.0 / 3.0);
        let unit_ms =
            if is_long { rng.random_range(1000..4000) } else { rng.random_range(20..400) };
        Job { steps, unit_ms: Some(unit_ms), cpu_milli }
    }

    /// Draws a job of one step whose units last.
    pub fn draw_lasting(rng: &mut StdRng) -> Job {
        let steps = vec![rng.random_range(1..4)];
        Job { steps, unit_ms: None, cpu_milli: LASTING_CPU_MILLI }
    }

    pub fn lasts(&self) -> bool {
        self.unit_ms.is_none()
    }

    /// Returns the work of all units that end, in milliseconds of a thousandth of a core.
    pub fn work(&self) -> u64 {
        u64::from(self.steps.iter().sum::<u32>()) * self.unit_ms.unwrap_or(0) * self.cpu_milli
    }

    pub fn body(&self) -> String {
        let step = |(number, count): (usize, &u32)| {
            let after: Vec<usize> = number.checked_sub(1).into_iter().collect();
            json!({
                "count": count, "cpu": self.cpu_milli, "mem_mb": 10,
                "est_runtime_ms": self.unit_ms.unwrap_or(0), "after": after,
                "long_running": self.lasts(),
            })
        };
        let steps: Vec<_> = self.steps.iter().enumerate().map(step).collect();
        let spec = self.unit_ms.map_or(LASTING.to_string(), |millis| millis.to_string());
        json!({"spec": spec, "steps": steps}).to_string()
    }

    pub fn units(&self, id: &str) -> Vec<Unit> {
        let unit = |step: usize, index: u32| Unit {
            name: format!("{id}.0.{step}.{index}"),
            step,
            cpu_milli: self.cpu_milli,
            lasts: self.lasts(),
        };
        let of_step =
            |(step, count): (usize, &u32)| (0..*count).map(|i| unit(step, i)).collect::<Vec<_>>();
        self.steps.iter().enumerate().flat_map(of_step).collect()
    }
}
