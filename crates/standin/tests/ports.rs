//! Ports that are called free stay so, though other threads start processes meanwhile: a process
//! holds copies of all open sockets until its program begins.

#![allow(clippy::expect_used, reason = "a test fails by panicking")]

use {
    standin::find_free_ports,
    std::{
        net::{Ipv4Addr, TcpListener},
        process::{Command, Stdio},
        sync::atomic::{AtomicBool, Ordering},
        thread,
    },
};

const ROUNDS: usize = 500;

#[test]
fn free_ports_can_be_taken_while_processes_start() {
    let ip = Ipv4Addr::new(127, 250, 0, 1);
    let done = AtomicBool::new(false);
    let start = || {
        while !done.load(Ordering::Relaxed) {
            let mut program = Command::new("true");
            program.stdout(Stdio::null());
            program.status().expect("a process");
        }
    };
    let refused = thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(start);
        }
        let refused: Vec<u16> = (0..ROUNDS)
            .filter_map(|_| {
                let base = find_free_ports(ip).expect("ports");
                TcpListener::bind((ip, base)).err().map(|_| base)
            })
            .collect();
        done.store(true, Ordering::Relaxed);
        refused
    });
    assert!(refused.is_empty(), "ports that are in use: {refused:?}");
}
