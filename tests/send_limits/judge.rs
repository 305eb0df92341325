//! What the replicas' rules say of a run.

use crate::plan::RUN_MS;
use crate::world::World;

impl World {
    /// Replicas that got more than their rate allows in some 4 s, and how much.
    pub fn broken_rates(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for (index, replica) in self.replicas.iter().enumerate() {
            let rate = replica.limits.rate.unwrap_or(0.0);
            let allowed = (1.5 * rate * 4.0 + 5.0) as usize;
            let counted: Vec<u64> = replica
                .arrivals
                .iter()
                .map(|arrival| (arrival.at.as_micros() / 1000, arrival.from))
                .filter(|(ms, from)| self.is_counted(index, *ms, *from))
                .map(|(ms, _)| ms)
                .collect();
            let in_span =
                |from: &u64| counted.iter().filter(|ms| (*from..*from + 4000).contains(ms)).count();
            let most = counted.iter().map(in_span).max().unwrap_or(0);
            if most > allowed {
                broken.push(format!("replica {index}: {most} at {rate}/s, allowed {allowed}"));
            }
        }
        broken
    }

    fn is_counted(&self, replica: usize, ms: u64, from: usize) -> bool {
        let (named_from, named_until) = self.replicas[replica].named;
        let instance = &self.instances[from];
        let is_told = instance.told_at.get(&replica).is_some_and(|at| ms >= at + 500);
        (named_from + 3000..named_until).contains(&ms) && is_told && instance.is_in_touch(ms)
    }

    pub fn falls(&self) -> usize {
        self.replicas.iter().map(|replica| replica.falls).sum()
    }

    pub fn allowed_falls(&self) -> usize {
        2 + self.replicas.len() / 10
    }

    /// Share of the first replica's rate that was used from 4 s on.
    pub fn used_share(&self) -> f64 {
        let replica = &self.replicas[0];
        let late = replica.arrivals.iter().filter(|arrival| arrival.at.as_micros() >= 4_000_000);
        let allowed = replica.limits.rate.unwrap_or(0.0) * (RUN_MS - 4000) as f64 / 1000.0;
        late.count() as f64 / allowed
    }
}
