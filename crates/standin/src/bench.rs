//! What the path through a daemon adds to a call, and what a daemon costs.

use {
    crate::{
        StandinError,
        caller::{Caller, Ended, Order},
        demo,
        fleet::{Fleet, Plan},
    },
    hdrhistogram::Histogram,
    std::{
        fmt::Write,
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
    wire::{Conn, Limits, Request},
};

const IDLE: Duration = Duration::from_secs(5);
const OPEN: usize = 1_000;

/// Measures in one run: the same closed load of `callers` straight to workers and through one
/// daemon, then a daemon's cost when idle and with 1,000 open connections.
///
/// # Errors
/// Fails where the fleet can't be started or asked.
pub fn added(callers: usize, seconds: u64) -> Result<String, StandinError> {
    let plan = Plan {
        daemons: 1,
        ..demo::plan()
    };
    let fleet = Fleet::start(plan)?;
    let daemon = fleet.callers();
    through(&daemon, callers, 2)?;
    let idle = cost(&fleet, || {
        thread::sleep(IDLE);
        Ok(())
    })?;
    let mut text = String::new();
    for round in 0..3 {
        let (straight, _) = straight(&fleet, callers, seconds)?;
        let mut calls = 0;
        let mut path = None;
        let cpu = cost(&fleet, || {
            let (histogram, count) = through(&daemon, callers, seconds)?;
            calls = count;
            path = Some(histogram);
            Ok(())
        })?;
        let Some(path) = path else { continue };
        let at = |quantile: f64| {
            let (with, without) = (
                path.value_at_quantile(quantile),
                straight.value_at_quantile(quantile),
            );
            (
                with as f64 / 1e3,
                without as f64 / 1e3,
                (with as f64 - without as f64) / 1e3,
            )
        };
        let (p50, p99) = (at(0.5), at(0.99));
        let rate = calls as f64 / seconds as f64;
        let _fits = writeln!(
            text,
            "round {round}: through a daemon p50 {:.3} p99 {:.3} ms; straight p50 {:.3} p99 {:.3} ms; added p50 {:.3} p99 {:.3} ms; {rate:.0} calls/s at {:.2} cores: {:.0} calls/s on one core",
            p50.0,
            p99.0,
            p50.1,
            p99.1,
            p50.2,
            p99.2,
            cpu,
            rate / cpu.max(1e-9),
        );
    }
    let open: Vec<TcpStream> = daemon
        .iter()
        .cycle()
        .take(OPEN)
        .filter_map(|address| TcpStream::connect(address).ok())
        .collect();
    thread::sleep(Duration::from_secs(1));
    let memory = fleet.dump(0)?["memory_kb"].as_u64().unwrap_or_default();
    let _fits = writeln!(
        text,
        "idle: {:.2}% of a core; {} open connections: {memory} KB resident",
        idle * 100.0,
        open.len()
    );
    Ok(text)
}

/// The cores that the first daemon uses while `work` runs.
fn cost(
    fleet: &Fleet,
    work: impl FnOnce() -> Result<(), StandinError>,
) -> Result<f64, StandinError> {
    let millis = || Ok::<_, StandinError>(fleet.dump(0)?["cpu_ms"].as_f64().unwrap_or_default());
    let (before, began) = (millis()?, Instant::now());
    work()?;
    Ok((millis()? - before) / 1e3 / began.elapsed().as_secs_f64())
}

type Measured = (Histogram<u64>, u64);

fn through(daemons: &[SocketAddr], callers: usize, seconds: u64) -> Result<Measured, StandinError> {
    closed(callers, seconds, |number| {
        let mut caller = Caller::new(daemons.to_vec(), number);
        let mut count = 0;
        move || {
            count += 1;
            let order = Order {
                deadline: Duration::from_secs(2),
                id: format!("{number}-{count}"),
                once: false,
                path: "/gallery".to_owned(),
                service: "submissions".to_owned(),
                work: Duration::from_millis(1),
            };
            let reply = caller.call(&order);
            (reply.ended == Ended::Ran).then_some(reply.took)
        }
    })
}

fn straight(fleet: &Fleet, callers: usize, seconds: u64) -> Result<Measured, StandinError> {
    let workers = fleet.worker_addresses();
    closed(callers, seconds, |number| {
        let address = workers.get(number as usize % workers.len().max(1)).copied();
        let conn = address.and_then(|address| TcpStream::connect(address).ok());
        let mut conn = conn.and_then(|sock| Conn::new(sock, Limits::default()).ok());
        move || {
            let conn = conn.as_mut()?;
            let began = Instant::now();
            let mut request = Request::new("GET", "/gallery");
            request.headers.add("Host", "worker");
            request.headers.add("X-Work-Us", 1_000);
            conn.write_request(&request).ok()?;
            let end = began + Duration::from_secs(2);
            conn.read_response(1 << 20, false, end).ok()?;
            Some(began.elapsed())
        }
    })
}

/// Runs `callers` loops for some seconds and records what each turn took.
fn closed<F, G>(callers: usize, seconds: u64, make: F) -> Result<Measured, StandinError>
where
    F: Fn(u64) -> G + Sync,
    G: FnMut() -> Option<Duration>,
{
    let end = Instant::now() + Duration::from_secs(seconds);
    let parts: Vec<Vec<Duration>> = thread::scope(|scope| {
        let threads: Vec<_> = (0..callers as u64)
            .map(|number| {
                let make = &make;
                scope.spawn(move || {
                    let mut turn = make(number);
                    let mut all = Vec::new();
                    while Instant::now() < end {
                        all.extend(turn());
                    }
                    all
                })
            })
            .collect();
        threads
            .into_iter()
            .filter_map(|thread| thread.join().ok())
            .collect()
    });
    let mut histogram = Histogram::new_with_bounds(1, 60_000_000, 3)
        .map_err(|error| std::io::Error::other(error.to_string()))?;
    let mut count = 0;
    for took in parts.into_iter().flatten() {
        histogram.saturating_record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
        count += 1;
    }
    Ok((histogram, count))
}
