//! What else goes wrong in a run.

use rand::Rng;

use super::instance::Instance;
use super::plan::Trouble;
use super::world::Event;
use super::world::MS;
use super::world::World;

/// Length of an instance's pause.
const PAUSE_US: u64 = 2_000 * MS;
/// Time in which the replicas of a rack fail.
const RACK_SPAN_US: u64 = 150 * MS;

impl World {
    /// Lets something else go wrong.
    pub fn trouble(&mut self, index: usize) {
        let trouble = self.plan.troubles[index].1.clone();
        self.record.note(self.now, || format!("{trouble:?}"));
        match trouble {
            Trouble::Crash(replicas) => {
                for replica in replicas {
                    let process = self.replicas[replica].process;
                    let delay = self.rng.random_range(0..RACK_SPAN_US);
                    self.schedule(delay, Event::Crash { replica, process, bad: None });
                }
            }
            Trouble::Kill(instance) => self.kill(instance),
            Trouble::Pause(instance) => self.instances[instance].paused_until = self.now + PAUSE_US,
            Trouble::CutOff { instances, ms } => {
                for instance in instances {
                    self.instances[instance].cut_until = self.now + ms * MS;
                }
            }
        }
    }

    fn kill(&mut self, instance: usize) {
        let killed = &mut self.instances[instance];
        killed.lives = false;
        killed.serves = false;
        for request in self.requests.iter_mut().filter(|r| r.instance == instance) {
            request.is_void |= request.life == self.instances[instance].life;
        }
        let delay = self.rng.random_range(500..4_000) * MS;
        self.schedule(delay, Event::Start(instance));
    }

    /// Starts a killed instance again.
    pub fn start(&mut self, instance: usize) {
        let life = self.instances[instance].life + 1;
        self.instances[instance] = Instance::starting(life, i64::try_from(self.now).unwrap());
        self.schedule(MS, Event::Round { instance, life, round: 0 });
    }
}
