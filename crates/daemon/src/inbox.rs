use {
    crate::daemon::Daemon,
    conf::Generation,
    crossbeam::channel::Receiver,
    peer::{Frame, Incoming, Update, ViewEvent, merge, update_for},
    pick::Event as DeskEvent,
    unit::Name,
};

/// Takes what comes from peers until the links are closed.
pub(crate) fn run(daemon: &Daemon, queue: &Receiver<Incoming>) {
    for incoming in queue {
        match incoming {
            Incoming::Down(peer) => {
                daemon.spread.lock().forget(&peer);
                if daemon.view(ViewEvent::Down(peer)) {
                    daemon.members_changed();
                }
            }
            Incoming::Frame(peer, frame) => take(daemon, &peer, frame),
            Incoming::Up(peer) => {
                for hall in daemon.live.load().halls() {
                    daemon.drive(hall, DeskEvent::PeerUp(peer.clone()));
                }
            }
        }
    }
}

fn take(daemon: &Daemon, peer: &Name, frame: Frame) {
    match frame {
        Frame::Beat(beat) => {
            let generation = Generation(beat.generation);
            daemon.spread.lock().heard(peer, generation, beat.list);
            if daemon.view(ViewEvent::Heard(peer.clone(), beat)) {
                daemon.members_changed();
            }
        }
        Frame::Desk { msg, service } => {
            if let Some((_, hall)) = daemon.live.load().services.get(&*service) {
                daemon.drive(hall, DeskEvent::Peer(peer.clone(), msg));
            }
        }
        Frame::Fetch { generation, list } => answer(daemon, peer, generation, list),
        Frame::Update(json) => {
            if let Ok(update) = serde_json::from_slice::<Update>(&json) {
                apply(daemon, peer, update);
            }
        }
    }
}

fn answer(daemon: &Daemon, peer: &Name, generation: u64, list: u64) {
    let live = daemon.live.load();
    let update = update_for(&live.bundle, &live.list, Generation(generation), list);
    if let Ok(json) = serde_json::to_vec(&update) {
        daemon.links.send(peer.clone(), Frame::Update(json));
    }
}

fn apply(daemon: &Daemon, peer: &Name, update: Update) {
    if let Some(list) = update.list {
        daemon.put_list(list);
    }
    let Some(bundle) = update.bundle else {
        return;
    };
    let old = daemon.live.load().bundle.clone();
    match merge(&old, bundle) {
        Some(bundle) => daemon.put_site(bundle),
        // A text is missing: ask for everything.
        None => daemon.links.send(
            peer.clone(),
            Frame::Fetch {
                generation: 0,
                list: 0,
            },
        ),
    }
}
