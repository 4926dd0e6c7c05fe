use {
    parking_lot::Mutex,
    std::{collections::HashMap, net::IpAddr},
};

/// Requests in progress by service and caller's address.
#[derive(Debug, Default)]
pub(crate) struct Callers(Mutex<HashMap<IpAddr, usize>>);

/// One request in progress; it no longer counts once this is dropped.
pub(crate) struct Admitted<'a> {
    callers: &'a Callers,
    from: IpAddr,
}

impl Callers {
    /// Counts a request unless `most` of this caller are in progress.
    pub(crate) fn admit(&self, from: IpAddr, most: usize) -> Option<Admitted<'_>> {
        let mut counts = self.0.lock();
        let count = counts.entry(from).or_default();
        if *count >= most {
            return None;
        }
        *count += 1;
        Some(Admitted {
            callers: self,
            from,
        })
    }
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        let mut counts = self.callers.0.lock();
        if let Some(count) = counts.get_mut(&self.from) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.from);
            }
        }
    }
}
