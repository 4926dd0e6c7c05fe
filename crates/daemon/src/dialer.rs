use {
    crate::daemon::{Daemon, Dial},
    back::{Dialed, dial},
    crossbeam::channel::Receiver,
    pick::Event as DeskEvent,
    std::time::Duration,
};

/// How long a worker may take to show its life on a new connection.
pub(crate) const PATIENCE: Duration = Duration::from_millis(1_000);

/// Opens connections ahead of requests until the channel is closed.
pub(crate) fn run(daemon: &Daemon, queue: &Receiver<Dial>) {
    for order in queue {
        let event = open(daemon, &order);
        daemon.drive(&order.hall, event);
    }
}

fn open(daemon: &Daemon, order: &Dial) -> DeskEvent {
    let worker = order.worker.clone();
    if daemon.now() >= order.until {
        return DeskEvent::Skipped(worker);
    }
    let live = daemon.live.load();
    let vm = live.vms.get(&worker);
    let path = live
        .services
        .get(&order.hall.name)
        .map(|(service, _)| &service.probe);
    let until = daemon.instant(order.until);
    let dialed = vm
        .zip(path)
        .and_then(|(vm, path)| dial(vm.address, path, until, PATIENCE).ok());
    daemon.metrics.dials_ahead.inc();
    let boot = dialed.map(|Dialed { boot, conn }| {
        daemon.pool.put(&worker, Some(boot), conn);
        boot
    });
    DeskEvent::Dialed {
        ahead: true,
        boot,
        worker,
    }
}
