//! Whether a configuration generation is in effect at every instance.

use serde::Serialize;

use crate::names::Generation;
use crate::names::InstanceName;
use crate::wire::operator::FleetMember;

/// An instance that doesn't have a generation in effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LaggingInstance {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Generation in effect there; `None` if it isn't known.
    pub generation: Option<Generation>,
    /// Why it counts as behind.
    pub reason: String,
}

/// Which instances have a generation in effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Convergence {
    /// The generation asked for.
    pub wanted: Generation,
    /// Instances that have it, or a higher one, in effect.
    pub in_effect: Vec<InstanceName>,
    /// Instances that don't have it in effect.
    pub behind: Vec<LaggingInstance>,
}

impl Convergence {
    /// Compares what each instance answered with the generation asked for.
    ///
    /// An instance that doesn't answer counts as behind, unless the platform
    /// lists it as leaving.
    pub fn of(wanted: Generation, members: &[FleetMember]) -> Self {
        let mut convergence = Self { wanted, in_effect: Vec::new(), behind: Vec::new() };
        for member in members {
            convergence.add(member);
        }
        convergence
    }

    /// Whether the generation is in effect everywhere, on at least one instance.
    pub fn is_complete(&self) -> bool {
        self.behind.is_empty() && !self.in_effect.is_empty()
    }

    fn add(&mut self, member: &FleetMember) {
        let Some(status) = &member.status else {
            if !member.leaving {
                let cause = member.error.as_deref().unwrap_or("no answer");
                self.add_behind(member, None, cause.to_owned());
            }
            return;
        };
        match status.generation {
            Some(generation) if generation >= self.wanted => {
                self.in_effect.push(member.instance.clone());
            }
            Some(generation) => {
                let reason = format!("generation {generation} is in effect");
                self.add_behind(member, Some(generation), reason);
            }
            None => self.add_behind(member, None, "no configuration yet".to_owned()),
        }
    }

    fn add_behind(&mut self, member: &FleetMember, generation: Option<Generation>, reason: String) {
        self.behind.push(LaggingInstance { instance: member.instance.clone(), generation, reason });
    }
}
