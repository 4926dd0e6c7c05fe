use {
    crate::{
        daemon::Daemon,
        event::{Event, log},
    },
    crossbeam::channel::{Receiver, RecvTimeoutError},
    peer::{Frame, SpreadAction, Standing, ViewEvent},
    pick::Event as DeskEvent,
    std::{
        sync::atomic::Ordering,
        time::{Duration, Instant},
    },
};

const TICK: Duration = Duration::from_millis(10);
const SLOW_TICK: Duration = Duration::from_millis(50);
/// How long an idle connection to an upstream is kept.
const IDLE: Duration = Duration::from_secs(15);
const REAP: Duration = Duration::from_millis(500);

/// Gives desks, view and spread their time until `stop` is closed.
pub(crate) fn run(daemon: &Daemon, stop: &Receiver<()>) {
    let mut slow = Instant::now();
    let mut reap = Instant::now();
    while stop.recv_timeout(TICK) == Err(RecvTimeoutError::Timeout) {
        if slow.elapsed() >= SLOW_TICK {
            slow = Instant::now();
            slow_tick(daemon);
        }
        let (epoch, until) = {
            let view = daemon.view.lock();
            (view.epoch(), view.feed(daemon.now()))
        };
        for hall in daemon.live.load().halls() {
            daemon.drive(hall, DeskEvent::Feed { epoch, until });
            daemon.drive(hall, DeskEvent::Tick);
        }
        if reap.elapsed() >= REAP {
            reap = Instant::now();
            reap_idle(daemon);
        }
    }
}

fn slow_tick(daemon: &Daemon) {
    if daemon.view(ViewEvent::Tick) {
        daemon.members_changed();
    }
    let action = daemon
        .spread
        .lock()
        .tick(daemon.now(), &daemon.settings.name);
    if let Some(SpreadAction::Fetch {
        generation,
        list,
        peer,
    }) = action
    {
        let generation = generation.0;
        daemon.links.send(peer, Frame::Fetch { generation, list });
    }
    ask_bootstrap(daemon);
    begin_serving(daemon);
    judge_isolation(daemon);
}

/// Asks the peers from the settings as long as no list has named others.
fn ask_bootstrap(daemon: &Daemon) {
    if daemon.standing() != Standing::Joining || daemon.live.load().list.version > 0 {
        return;
    }
    for address in &daemon.settings.bootstrap {
        let frame = Frame::Fetch {
            generation: 0,
            list: 0,
        };
        daemon.links.send(address.to_string().into(), frame);
    }
}

/// Begins to serve once the newest site is in force.
fn begin_serving(daemon: &Daemon) {
    if daemon.standing() != Standing::Joining {
        return;
    }
    let listed = daemon.view.lock().listed_names().len().saturating_sub(1);
    let known = listed.max(daemon.settings.bootstrap.len());
    let ready = daemon.spread.lock().caught_up(known);
    if ready && daemon.generation() > conf::Generation(0) {
        daemon.move_on(Standing::Serving);
        log(
            Event::Serving,
            format!("generation {}", daemon.generation().0),
        );
    }
}

fn judge_isolation(daemon: &Daemon) {
    let isolated = !daemon.platform_near() && !daemon.view.lock().majority();
    if daemon.isolated.swap(isolated, Ordering::Relaxed) != isolated {
        let event = if isolated {
            Event::Isolated
        } else {
            Event::Rejoined
        };
        log(event, &daemon.settings.name);
    }
}

fn reap_idle(daemon: &Daemon) {
    let live = daemon.live.load();
    for (worker, conns) in daemon.pool.reap(IDLE) {
        for hall in live.halls() {
            let worker = worker.clone();
            daemon.drive(hall, DeskEvent::Lost { conns, worker });
        }
    }
}

impl Daemon {
    /// Moves this daemon on in its life and tells peers and desks.
    pub(crate) fn move_on(&self, standing: Standing) {
        *self.standing.lock() = standing;
        self.view(ViewEvent::Standing(standing));
        self.members_changed();
    }
}
