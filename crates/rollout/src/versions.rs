//! Which versions of a service may get requests.

use {
    crate::{Lane, Phase, Rollout},
    site::Rev,
    unit::{Map, Name, Set, Span, Time},
};

/// How long after a completed rollout the old versions are left out. Their workers are stopped at
/// once, but their entries may stay for some time.
const RETIREMENT: Span = Span::secs(30);

/// The versions that a completed rollout replaced.
#[derive(Clone, Debug)]
struct Retired {
    /// The target version.
    target: Name,
    /// Until when they are left out.
    until: Time,
    /// The versions; `None` for all but the target, where it isn't known which were there before.
    versions: Option<Set<Name>>,
}

/// The versions of one service.
#[derive(Clone, Debug, Default)]
struct ServiceVersions {
    /// The versions that no unknown rollout object can be about.
    established: Set<Name>,
    /// The versions that a completed rollout replaced.
    retired: Option<Retired>,
    /// The target versions of rollouts whose objects were removed before they were completed, while
    /// there are workers of them.
    withdrawn: Set<Name>,
}

/// Which versions of each service are established, as one daemon knows it.
///
/// A rollout object is written before the workers of its target version start. So once rollouts are
/// known up to the revision of any entry of a version, a rollout of it is known, if there is one.
#[derive(Clone, Debug, Default)]
pub struct Versions(Map<Name, ServiceVersions>);

impl Versions {
    /// Notes the entry of a worker at `rev` while rollouts are known up to `known`.
    pub fn record_entry(&mut self, service: &Name, version: &Name, rev: Rev, known: Rev) {
        if rev <= known {
            self.establish(service, version);
        }
    }

    /// Notes that no rollout object can be unknown that is about a version.
    pub fn establish(&mut self, service: &Name, version: &Name) {
        let versions = self.0.entry(service.clone()).or_default();
        if !versions.established.contains(version) {
            versions.established.insert(version.clone());
        }
    }

    /// Whether no version of a service is established.
    pub fn is_empty(&self, service: &Name) -> bool {
        let versions = self.0.get(service);
        versions.is_none_or(|versions| versions.established.is_empty())
    }

    /// Whether a version is established.
    pub fn is_established(&self, service: &Name, version: &Name) -> bool {
        let versions = self.0.get(service);
        versions.is_some_and(|versions| versions.established.contains(version))
    }

    /// The established versions of all services.
    pub fn established(&self) -> impl Iterator<Item = (&Name, &Name)> {
        let versions = self.0.iter();
        versions.flat_map(|(service, versions)| {
            let established = versions.established.iter();
            established.map(move |version| (service, version))
        })
    }

    /// Notes that a rollout was completed: `present` are the versions of the service's workers;
    /// `None` if this daemon has just started and doesn't know all workers yet.
    pub fn complete(&mut self, now: Time, rollout: &Rollout, present: Option<Set<Name>>) {
        let target = &rollout.object().target;
        self.establish(rollout.service(), target);
        if let Some(versions) = self.0.get_mut(rollout.service()) {
            versions.retired = Some(Retired {
                target: target.clone(),
                until: now + RETIREMENT,
                versions: present,
            });
        }
    }

    /// Notes that a rollout's object was removed or replaced by one of another rollout.
    pub fn remove(&mut self, rollout: &Rollout) {
        let versions = self.0.entry(rollout.service().clone()).or_default();
        if rollout.phase() != Phase::Completed {
            let target = rollout.object().target.clone();
            versions.established.remove(&target);
            versions.withdrawn.insert(target);
        }
    }

    /// Forgets what is about versions of which no worker is left. `present` are the versions of a
    /// service's workers.
    pub fn retain(&mut self, now: Time, service: &Name, present: &Set<Name>) {
        let Some(versions) = self.0.get_mut(service) else {
            return;
        };
        versions
            .withdrawn
            .retain(|version| present.contains(version));
        versions
            .established
            .retain(|version| present.contains(version));
        // Without workers of the target version it was replaced since.
        let replaced = |retired: &Retired| {
            retired.versions.is_none() && !present.is_empty() && !present.contains(&retired.target)
        };
        versions
            .retired
            .take_if(|retired| now >= retired.until || replaced(retired));
    }

    /// Which requests the workers of a version may get. `canary` says whether this worker is one of
    /// those on which the share of the target version is concentrated.
    pub fn lane(
        &self,
        now: Time,
        service: &Name,
        version: &Name,
        rollout: Option<&Rollout>,
        canary: bool,
    ) -> Lane {
        if let Some(rollout) = rollout {
            let is_target = rollout.object().target == *version;
            match (rollout.phase(), is_target) {
                (Phase::Completed, true) => return Lane::Open,
                (Phase::RolledBack, true) => return Lane::Held,
                (Phase::Exposing, true) if canary => return Lane::Canary,
                (Phase::Exposing, true) => return Lane::Held,
                (Phase::Shifting, true) if rollout.is_shifted(now) => return Lane::Open,
                (Phase::Shifting, true) => return Lane::Canary,
                (Phase::Shifting, false) if rollout.is_shifted(now) => return Lane::Held,
                (_, false) => {}
            }
        }
        let Some(versions) = self.0.get(service) else {
            return Lane::Held;
        };
        let retired = versions.retired.as_ref();
        let retired = retired.is_some_and(|retired| {
            let old = &retired.versions;
            now < retired.until
                && retired.target != *version
                && old.as_ref().is_none_or(|old| old.contains(version))
        });
        if retired || versions.withdrawn.contains(version) {
            return Lane::Held;
        }
        if versions.established.contains(version) {
            Lane::Open
        } else {
            Lane::Held
        }
    }
}
