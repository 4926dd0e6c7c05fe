use {
    crate::{Change, Conflict, Generation, Root},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    unit::Name,
};

/// What an operator wants to change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Takes a data centre out, or brings it in.
    Centre(Name, bool),
    /// Points services at new objects; `None` removes a service.
    Services(BTreeMap<Name, Option<String>>),
    /// Takes a VM out, or brings it in.
    Vm(Name, bool),
}

impl Edit {
    /// What this edit touches, in the words of [`Change::touched`].
    pub fn touched(&self) -> Vec<String> {
        match self {
            Self::Centre(name, _) => vec![format!("data centre {name}")],
            Self::Services(objects) => objects
                .keys()
                .map(|name| format!("service {name}"))
                .collect(),
            Self::Vm(name, _) => vec![format!("vm {name}")],
        }
    }

    /// The root after this edit on top of `now`, whose version is `base`.
    ///
    /// `seen` is the generation that the operator had looked at.
    ///
    /// # Errors
    /// Fails where somebody else has changed the same thing since `seen`.
    pub fn apply(
        &self,
        seen: Generation,
        now: &Root,
        base: Generation,
        change: Change,
    ) -> Result<Root, Conflict> {
        for what in self.touched() {
            if let Some(other) = crossing(seen, now, &what) {
                return Err(Conflict {
                    by: other.by.clone(),
                    generation: other.generation,
                    id: other.id.clone(),
                    what,
                });
            }
        }
        let mut root = now.clone();
        match self {
            Self::Centre(name, true) => drop(root.centres.insert(name.clone())),
            Self::Centre(name, false) => drop(root.centres.remove(name)),
            Self::Services(objects) => {
                for (name, object) in objects {
                    match object {
                        Some(object) => drop(root.services.insert(name.clone(), object.clone())),
                        None => drop(root.services.remove(name)),
                    }
                }
            }
            Self::Vm(name, true) => drop(root.vms.insert(name.clone())),
            Self::Vm(name, false) => drop(root.vms.remove(name)),
        }
        let generation = base.0 + 1;
        root.record(Change {
            generation,
            ..change
        });
        Ok(root)
    }
}

/// The change of `what` that came after `seen`; where the history no longer reaches back to
/// `seen`, its oldest change stands for all that it has lost.
fn crossing<'a>(seen: Generation, now: &'a Root, what: &str) -> Option<&'a Change> {
    let after = |change: &&Change| change.generation > seen.0;
    let oldest = now.history.first();
    let lost = oldest.filter(|change| change.generation > seen.0 + 1);
    now.last(what).filter(after).or(lost)
}
