//! A port that is found to be free must stay free while other threads spawn processes: a new
//! process holds copies of all open sockets until it executes its program, and would keep a port in
//! use that had been bound to find out whether it is free.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

use {
    standin::{ExecutionLog, Upstream, find_free_ports},
    std::{
        iter,
        net::{Ipv4Addr, SocketAddrV4, TcpListener},
        process::{Command, Stdio},
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::Duration,
    },
};

const ROUNDS: usize = 500;

/// Calls a function many times while other threads spawn processes, and returns what it finds.
fn beside_new_processes<T>(find: impl FnMut() -> Option<T>) -> Vec<T> {
    let done = AtomicBool::new(false);
    let spawn_processes = || {
        while !done.load(Ordering::Relaxed) {
            let mut command = Command::new("true");
            command.stdout(Stdio::null());
            command.status().expect("the process can be started");
        }
    };
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(spawn_processes);
        }
        let found = iter::repeat_with(find).take(ROUNDS).flatten().collect();
        done.store(true, Ordering::Relaxed);
        found
    })
}

#[test]
fn free_ports_can_be_bound_while_processes_start() {
    let ip = Ipv4Addr::new(127, 250, 0, 1);
    let in_use = beside_new_processes(|| {
        let base = find_free_ports(&[ip]).expect("a range of ports is free");
        TcpListener::bind((ip, base)).err().map(|_| base)
    });
    assert!(
        in_use.is_empty(),
        "ports found to be free that can't be bound: {in_use:?}"
    );
}

#[test]
fn a_port_in_use_on_any_address_is_not_free() {
    let first = Ipv4Addr::new(127, 9, 9, 1);
    let second = Ipv4Addr::new(127, 9, 9, 2);
    let used: Vec<u16> = (20_000..30_000).step_by(50).collect();
    let _listeners: Vec<TcpListener> = used
        .iter()
        .map(|port| TcpListener::bind((second, *port)).expect("a free port"))
        .collect();
    for _ in 0..ROUNDS {
        let base = find_free_ports(&[first, second]).expect("a range of ports is free");
        assert!(
            !used.iter().any(|port| (base..base + 5).contains(port)),
            "{base}"
        );
    }
}

/// Guards against a worker that can't take over an address because a process that is just being
/// started holds the old worker's socket.
#[test]
fn a_worker_takes_over_an_address_while_processes_start() {
    let log = ExecutionLog::default();
    let start = |address| Upstream::start_at(address, "w", "s", "a", Duration::ZERO, &log);
    let failed = beside_new_processes(|| {
        let old = start(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
        let address = old.entry.address;
        drop(old);
        start(address).err()
    });
    assert!(failed.is_empty(), "{failed:?}");
}
