use {
    crate::{
        daemon::Daemon,
        event::{Event, log},
        live::Live,
    },
    conf::{Role, Standing as VmStanding, Vm},
    peer::{Candidate, ViewAction, ViewEvent, entries, home, sharers},
    pick::{Event as DeskEvent, Seat},
    std::sync::Arc,
    unit::{Name, digest},
};

impl Daemon {
    /// Gives the view an event and does what it says; returns whether the fleet has changed.
    pub(crate) fn view(&self, event: ViewEvent) -> bool {
        let mut out = Vec::new();
        self.view.lock().step(self.now(), event, &mut out);
        let mut changed = false;
        for action in out {
            match action {
                ViewAction::Beat(peer, mut beat) => {
                    beat.generation = self.generation().0;
                    beat.list = self.live.load().list.version;
                    self.links.send(peer, peer::Frame::Beat(beat));
                }
                ViewAction::Changed => changed = true,
            }
        }
        changed
    }

    /// The daemons that may serve `service` now, in the order of their places.
    pub(crate) fn entries_of(&self, live: &Live, service: &str, most: usize) -> Vec<Candidate> {
        let open: Vec<Candidate> = self
            .view
            .lock()
            .serving()
            .into_iter()
            .filter(|own| is_in(live, &own.centre, &own.name))
            .collect();
        entries(service, most, &open).into_iter().cloned().collect()
    }

    /// Tells the view and every desk what the site, the list and the fleet now make of them.
    pub(crate) fn reseat(&self) {
        let _guard = self.seating.lock();
        let live = self.live.load_full();
        let region = &self.settings.region;
        let local = |vm: &&Vm| vm.region == *region;
        let daemons: Vec<Candidate> = live
            .list
            .vms
            .iter()
            .filter(local)
            .filter(|vm| matches!(vm.role, Role::Entry { .. }))
            .map(|vm| Candidate {
                centre: vm.centre.clone(),
                name: vm.name.clone(),
            })
            .collect();
        self.set_links(&live);
        self.view(ViewEvent::Listed(daemons));
        self.view(ViewEvent::Inputs(inputs(&live, region)));
        // Read before the members: if they change meanwhile, the seats count as of the old view.
        let epoch = self.view.lock().epoch();
        for (service, hall) in live.services.values() {
            let chosen = self.entries_of(&live, &service.name, service.entries);
            let event = self.seats(&live, service, &chosen, epoch);
            self.drive(hall, event);
        }
    }

    fn seats(
        &self,
        live: &Live,
        service: &conf::Service,
        chosen: &[Candidate],
        epoch: u64,
    ) -> DeskEvent {
        let listed = self.view.lock().listed_names();
        let workers: Vec<&Vm> = live
            .list
            .vms
            .iter()
            .filter(|vm| vm.region == self.settings.region)
            .filter(
                |vm| matches!(&vm.role, Role::Upstream { service: own } if *own == service.name),
            )
            .collect();
        let names: Vec<Name> = workers.iter().map(|vm| vm.name.clone()).collect();
        let chosen: Vec<&Candidate> = chosen.iter().collect();
        let homes = home(&names, &chosen);
        let shares = crate::hall::spec(service, self.settings.policy).shares();
        let seat = |(vm, home): (&&Vm, Option<&Name>)| Seat {
            centre: vm.centre.clone(),
            home: home.cloned(),
            name: vm.name.clone(),
            open: vm.standing == VmStanding::Live && is_in(live, &vm.centre, &vm.name),
            share: sharers(&vm.name, shares, &listed, &self.settings.name),
        };
        DeskEvent::Seats {
            daemons: u32::try_from(listed.len()).unwrap_or(u32::MAX).max(1),
            epoch,
            seats: workers.iter().zip(homes).map(seat).collect(),
        }
    }

    fn set_links(&self, live: &Arc<Live>) {
        let me = &self.settings.name;
        let peers = live
            .list
            .vms
            .iter()
            .filter(|vm| vm.region == self.settings.region);
        let listed = peers.filter_map(|vm| match vm.role {
            Role::Entry { peers, .. } if vm.name != *me => Some((vm.name.clone(), peers)),
            _ => None,
        });
        let mut all: Vec<(Name, std::net::SocketAddr)> = listed.collect();
        if all.is_empty() {
            let bootstrap = self.settings.bootstrap.iter();
            all.extend(bootstrap.map(|address| (address.to_string().into(), *address)));
        }
        self.links.set_peers(all);
    }

    /// Notes that the daemons that serve have changed.
    pub(crate) fn members_changed(&self) {
        let serving = self.view.lock().serving();
        let names: Vec<&str> = serving.iter().map(|own| &*own.name).collect();
        log(Event::Members, names.join(" "));
        self.reseat();
    }
}

/// Whether neither the VM nor its data centre was taken out.
fn is_in(live: &Live, centre: &Name, vm: &Name) -> bool {
    let root = &live.bundle.root;
    !root.centres.contains(centre) && !root.vms.contains(vm)
}

/// A digest of all that decides about homes besides the members: the workers, the services'
/// numbers of entries, and what was taken out.
fn inputs(live: &Live, region: &Name) -> u64 {
    let root = &live.bundle.root;
    let vms = live.list.vms.iter().filter(|vm| vm.region == *region);
    let mut parts: Vec<String> = vms
        .map(|vm| format!("{}@{}", vm.name, vm.address))
        .collect();
    parts.extend(
        live.services
            .values()
            .map(|(own, _)| format!("{}#{}", own.name, own.entries)),
    );
    parts.extend(root.centres.iter().map(|name| format!("centre {name}")));
    parts.extend(root.vms.iter().map(|name| format!("vm {name}")));
    parts.sort_unstable();
    digest(parts.iter().map(String::as_str))
}
