use {
    parking_lot::Mutex,
    pick::Decision,
    serde::Serialize,
    std::collections::VecDeque,
    unit::{Name, Time},
};

const ROOM: usize = 8_192;

/// A decision, with when and for which service it was made.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Entry {
    /// Microseconds since the daemon's start.
    pub(crate) at: Time,
    pub(crate) decision: Decision,
    pub(crate) service: Name,
}

/// The newest decisions.
#[derive(Debug, Default)]
pub(crate) struct Journal(Mutex<VecDeque<Entry>>);

impl Journal {
    pub(crate) fn add(&self, entry: Entry) {
        let mut entries = self.0.lock();
        if entries.len() >= ROOM {
            entries.pop_front();
        }
        entries.push_back(entry);
    }

    /// The newest `most` decisions that are not about a single request, oldest first.
    pub(crate) fn newest(&self, most: usize) -> Vec<Entry> {
        let entries = self.0.lock();
        let about_worker = |entry: &&Entry| request(&entry.decision).is_none();
        let mut newest: Vec<Entry> = entries
            .iter()
            .rev()
            .filter(about_worker)
            .take(most)
            .cloned()
            .collect();
        newest.reverse();
        newest
    }

    /// The decisions about one request, oldest first.
    pub(crate) fn about(&self, id: u64) -> Vec<Entry> {
        let entries = self.0.lock();
        let own = |entry: &&Entry| request(&entry.decision) == Some(id);
        entries.iter().filter(own).cloned().collect()
    }
}

fn request(decision: &Decision) -> Option<u64> {
    match decision {
        Decision::Chosen { id, .. } | Decision::Queued { id, .. } => Some(*id),
        _ => None,
    }
}
