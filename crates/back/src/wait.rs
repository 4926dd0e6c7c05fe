use {
    nix::{
        poll::{PollFd, PollFlags, ppoll},
        sys::time::TimeSpec,
    },
    std::{net::TcpStream, os::fd::AsFd, time::Instant},
};

/// What ended a wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ready {
    /// The caller's connection has its end, or bytes.
    Caller,
    /// The worker's connection at this place has bytes or its end.
    Worker(usize),
    /// Time is up.
    Timeout,
}

/// Waits until `end` for one of several workers' connections or the caller's.
pub fn wait(workers: &[&TcpStream], caller: Option<&TcpStream>, end: Instant) -> Ready {
    let socks = workers.iter().copied().chain(caller);
    let mut fds: Vec<PollFd<'_>> = socks
        .map(|sock| PollFd::new(sock.as_fd(), PollFlags::POLLIN))
        .collect();
    loop {
        let left = end.saturating_duration_since(Instant::now());
        match ppoll(&mut fds, Some(TimeSpec::from_duration(left)), None) {
            Ok(0) => return Ready::Timeout,
            Ok(_) => break,
            Err(_) if Instant::now() >= end => return Ready::Timeout,
            Err(_) => {}
        }
    }
    let ready = |fd: &PollFd<'_>| fd.revents().is_some_and(|events| !events.is_empty());
    match fds.iter().position(ready) {
        Some(at) if at < workers.len() => Ready::Worker(at),
        Some(_) => Ready::Caller,
        None => Ready::Timeout,
    }
}
