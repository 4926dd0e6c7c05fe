use {
    crate::{
        daemon::Daemon,
        event::{Event, log},
    },
    crossbeam::channel::{Receiver, RecvTimeoutError},
    fastrand::Rng,
    peer::Standing,
    plat::{Backoff, PlatError, Site},
    std::{
        sync::atomic::Ordering,
        time::{Duration, Instant},
    },
    unit::{Span, Time, rank},
};

/// How long one watch waits.
const WATCH: Span = Span::secs(5);
/// How often a daemon that doesn't watch reads the platform all the same, about.
const CHECK: Span = Span::secs(45);
/// How often a daemon that doesn't watch looks whether it should.
const LOOK: Duration = Duration::from_millis(250);

/// Which of the platform's two sources a thread follows.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Source {
    List,
    Site,
}

/// Follows one source until `stop` is closed.
pub(crate) fn run(daemon: &Daemon, source: Source, stop: &Receiver<()>) {
    let mut rng = Rng::new();
    let mut backoff = Backoff::new(Span::millis(200), Span::secs(5));
    let mut checked = Instant::now();
    let mut check = Duration::ZERO;
    loop {
        let watch = must_watch(daemon);
        let due = checked.elapsed() >= check;
        let mut pause = LOOK;
        if watch || due {
            let wait = if watch { WATCH } else { Span::ZERO };
            match follow(daemon, source, wait) {
                Ok(()) => {
                    answered(daemon);
                    backoff.reset();
                    checked = Instant::now();
                    let spread = rng.u64(0..CHECK.as_micros());
                    check = (CHECK / 2 + Span::micros(spread)).into();
                    pause = if watch {
                        Duration::from_millis(1)
                    } else {
                        LOOK
                    };
                }
                Err(error) => {
                    failed(daemon, &error);
                    pause = backoff.next(&mut rng).into();
                }
            }
        }
        if stop.recv_timeout(pause) != Err(RecvTimeoutError::Timeout) {
            return;
        }
    }
}

/// Whether this daemon is one of the region's watchers, or has nobody to hear news from.
fn must_watch(daemon: &Daemon) -> bool {
    if daemon.standing() == Standing::Joining {
        return true;
    }
    let view = daemon.view.lock();
    let me = &daemon.settings.name;
    let own = rank("watch", me);
    let serving = view.serving();
    let ahead = serving
        .iter()
        .filter(|other| rank("watch", &other.name) > own)
        .count();
    !view.majority() || ahead < daemon.settings.watchers
}

fn follow(daemon: &Daemon, source: Source, wait: Span) -> Result<(), PlatError> {
    match source {
        Source::List => {
            let have = daemon.live.load().list.version;
            if let Some(list) = daemon.client.vms(have, wait)? {
                daemon.put_list(list);
            }
        }
        Source::Site => follow_site(daemon, wait)?,
    }
    Ok(())
}

fn follow_site(daemon: &Daemon, wait: Span) -> Result<(), PlatError> {
    let site = Site(&daemon.client);
    let (have, refused) = {
        let spread = daemon.spread.lock();
        (spread.generation(), spread.refused())
    };
    let have = refused.unwrap_or(have).max(have);
    // A first look must not wait: it tells whether this daemon has the newest.
    let wait = if daemon.standing() == Standing::Joining {
        Span::ZERO
    } else {
        wait
    };
    if let Some((generation, root)) = site.watch(have, wait)? {
        let known = daemon.live.load().bundle.clone();
        let bundle = site.bundle(generation, root, &known)?;
        daemon.put_site(bundle);
    }
    if daemon.live.load().list.version > 0 {
        daemon.spread.lock().platform_answered();
    }
    Ok(())
}

fn answered(daemon: &Daemon) {
    let now = daemon.now().since(Time::ZERO).as_micros();
    if daemon.platform_ok.swap(now, Ordering::Relaxed) == 0 {
        log(Event::PlatformUp, "platform answers");
    }
}

fn failed(daemon: &Daemon, error: &PlatError) {
    let near = daemon.platform_near();
    if !near && daemon.platform_ok.swap(0, Ordering::Relaxed) != 0 {
        log(Event::PlatformDown, error);
    } else {
        log::debug!("platform: {error}");
    }
}
