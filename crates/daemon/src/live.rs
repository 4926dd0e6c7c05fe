use {
    crate::hall::Hall,
    conf::{Bundle, Service, Vm, VmList},
    std::sync::Arc,
    unit::{Map, Name},
};

/// Everything that a request needs to know of the site, replaced as a whole.
pub(crate) struct Live {
    pub(crate) bundle: Arc<Bundle>,
    pub(crate) list: Arc<VmList>,
    /// The parsed service files, each with its desk.
    pub(crate) services: Map<Name, (Arc<Service>, Arc<Hall>)>,
    /// The list's VMs by name.
    pub(crate) vms: Map<Name, Arc<Vm>>,
}

impl Live {
    pub(crate) fn empty() -> Self {
        Self {
            bundle: Arc::default(),
            list: Arc::default(),
            services: Map::default(),
            vms: Map::default(),
        }
    }

    pub(crate) fn halls(&self) -> impl Iterator<Item = &Arc<Hall>> {
        self.services.values().map(|(_, hall)| hall)
    }
}
