use {
    crate::{daemon::Daemon, hall::Hall},
    back::{Dialed, dial},
    crossbeam::channel::Receiver,
    pick::Event as DeskEvent,
    std::{sync::Arc, time::Duration},
    unit::Name,
};

/// How long a connection to an upstream may take to open and show its life.
pub(crate) const PATIENCE: Duration = Duration::from_millis(1_000);

/// Opens connections ahead of requests until the channel is closed.
pub(crate) fn run(daemon: &Daemon, queue: &Receiver<(Arc<Hall>, Name)>) {
    for (hall, worker) in queue {
        let live = daemon.live.load();
        let vm = live.vms.get(&worker);
        let path = live
            .services
            .get(&hall.name)
            .map(|(service, _)| &service.probe);
        let dialed = vm
            .zip(path)
            .and_then(|(vm, path)| dial(vm.address, path, PATIENCE).ok());
        daemon.metrics.dials_ahead.inc();
        let boot = dialed.map(|Dialed { boot, conn }| {
            daemon.pool.put(&worker, Some(boot), conn);
            boot
        });
        daemon.drive(&hall, DeskEvent::Dialed { boot, worker });
    }
}
