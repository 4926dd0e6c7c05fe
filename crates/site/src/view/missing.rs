//! The changes that other daemons lack.

use {
    super::View,
    crate::{Change, Departure, ObjectState, Rev, Revs, Topic, Versioned},
    std::sync::Arc,
    unit::Name,
};

impl View {
    /// The changes that a peer lacks if it knows the topics up to `known`.
    pub fn changes_since(&self, known: &Revs) -> Vec<Change> {
        Topic::WITH_OPTIONAL
            .iter()
            .filter(|topic| self.revs.of(**topic) > known.of(**topic))
            .map(|topic| self.change_since(*topic, known.of(*topic)))
            .collect()
    }

    /// The change to one topic since revision `known`: a full list if nothing is known of the
    /// topic, the tombstone of a later removal may have been dropped, or the peer has yet to compare
    /// what it knows with the store's copy.
    fn change_since(&self, topic: Topic, known: Rev) -> Change {
        let full = topic == Topic::Rollouts
            || known < self.compacted
            || known == Rev::default()
            || known.era < self.revs.of(topic).era;
        let after = if full { Rev::default() } else { known };
        Change {
            // It is unknown when a peer that far behind missed a departure, so the worker counts as
            // lapsed.
            absent_departure: Departure::Lapsed,
            full,
            items: match topic {
                Topic::Config => self.config_items(after),
                Topic::Evacuations => self.evacuation_items(after, full),
                Topic::Workers => self.worker_items(after, full),
                Topic::Rollouts => self.rollout_items(),
            },
            rev: self.revs.of(topic),
            topic,
        }
    }

    fn config_items(&self, after: Rev) -> Vec<Versioned<ObjectState>> {
        let newer = self.config.iter().filter(|versioned| versioned.rev > after);
        newer
            .map(|versioned| Versioned {
                rev: versioned.rev,
                value: ObjectState::Config(Arc::clone(&versioned.value)),
            })
            .collect()
    }

    /// All rollouts; there are few.
    pub fn rollout_items(&self) -> Vec<Versioned<ObjectState>> {
        let rollouts = self.rollouts.values().map(|rollout| Versioned {
            rev: rollout.rev,
            value: ObjectState::Rollout(rollout.value.clone()),
        });
        let unreadable = self.unreadable.iter().map(|(name, rev)| Versioned {
            rev: *rev,
            value: ObjectState::RolloutUnreadable(name.clone()),
        });
        rollouts.chain(unreadable).collect()
    }

    fn evacuation_items(&self, after: Rev, full: bool) -> Vec<Versioned<ObjectState>> {
        let unsettled = |name: &Name| full && self.unsettled.contains_key(name);
        let evacuated = self.evacuated.iter().filter(|(name, _)| !unsettled(name));
        // A full list says what the store says.
        let copied = self.unsettled.iter();
        let copied = copied
            .filter(|(_, entry)| full && entry.evacuated)
            .map(|(name, entry)| (name, &entry.rev));
        let evacuated = evacuated.chain(copied).map(|(name, rev)| Versioned {
            rev: *rev,
            value: ObjectState::Evacuated(name.clone()),
        });
        let returned = self.returned.iter().map(|(name, rev)| Versioned {
            rev: *rev,
            value: ObjectState::Returned(name.clone()),
        });
        let returned = returned.filter(|_| !full);
        evacuated
            .chain(returned)
            .filter(|item| item.rev > after)
            .collect()
    }

    fn worker_items(&self, after: Rev, full: bool) -> Vec<Versioned<ObjectState>> {
        let present = self.workers.values().map(|versioned| Versioned {
            rev: versioned.rev,
            value: ObjectState::Worker(versioned.value.clone()),
        });
        let removed = self.tombstones.iter().map(|(id, tombstone)| Versioned {
            rev: tombstone.rev,
            value: ObjectState::WorkerRemoved(id.clone(), tombstone.departure),
        });
        let removed = removed.filter(|_| !full);
        // A full list says what the store says.
        let copied = self.unsettled_workers.values().filter(|_| full);
        let copied = copied.map(|unsettled| Versioned {
            rev: unsettled.entry.rev,
            value: ObjectState::Worker(unsettled.entry.value.clone()),
        });
        present
            .chain(removed)
            .chain(copied)
            .filter(|item| item.rev > after)
            .collect()
    }
}
