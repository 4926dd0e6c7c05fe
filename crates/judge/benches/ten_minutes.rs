//! Judging ten minutes of thirteen daemons at 500 requests a second: time and memory.

use {
    fastrand::Rng,
    judge::{Bounds, Entry, Event, Outcome, Record, RetryBound, judge},
    std::time::Instant,
    unit::{Name, Span, Time},
};

const MINUTES: u64 = 10;
const PER_SECOND: u64 = 500;
const DAEMONS: usize = 13;
const WORKERS: usize = 24;
const ACCOUNTS: usize = 8;

fn main() -> std::io::Result<()> {
    let mut file = Vec::new();
    record().write(&mut file)?;
    let began = Instant::now();
    let read = Record::read(&file[..]).map_err(std::io::Error::other)?;
    let parsed = began.elapsed();
    let breaches = judge(&read);
    println!(
        "{} entries, {} MB: read in {parsed:?}, judged in {:?}, {} broken; peak memory {} MB",
        read.entries.len(),
        file.len() >> 20,
        began.elapsed().saturating_sub(parsed),
        breaches.len(),
        peak_memory()? >> 10,
    );
    Ok(())
}

/// The peak memory of this process, in KB; 0 where the system doesn't tell.
fn peak_memory() -> std::io::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.trim().strip_suffix(" kB"));
    Ok(number
        .and_then(|text| text.parse().ok())
        .unwrap_or_default())
}

fn record() -> Record {
    let mut rng = Rng::with_seed(1);
    let mut entries = Vec::new();
    for worker in 0..WORKERS {
        entries.push(Entry {
            at: Time::ZERO,
            event: Event::Joined {
                worker: format!("w-{worker}").into(),
                centre: "a".into(),
                service: "s".into(),
            },
        });
    }
    for number in 0..MINUTES * 60 * PER_SECOND {
        let at = Time::at(Span::micros(number * 1_000_000 / PER_SECOND));
        add_request(&mut entries, &mut rng, number, at);
    }
    Record::new(bounds(), entries)
}

fn add_request(entries: &mut Vec<Entry>, rng: &mut Rng, number: u64, at: Time) {
    let request: Name = format!("{number:016x}").into();
    let worker: Name = format!("w-{}", rng.usize(..WORKERS)).into();
    let mut add = |at, event| entries.push(Entry { at, event });
    add(
        at,
        Event::Sent {
            request: request.clone(),
            account: Some(format!("account-{}", rng.usize(..ACCOUNTS)).into()),
            daemon: format!("front-{}", rng.usize(..DAEMONS)).into(),
            idempotent: rng.bool(),
            max_attempts: 2,
            opened: at,
            service: "s".into(),
            timeout: Span::secs(1),
        },
    );
    let arrived = at + Span::millis(rng.u64(1..5));
    let (of_run, of_worker) = (request.clone(), worker.clone());
    add(
        arrived,
        Event::Arrived {
            request: request.clone(),
            worker,
            cold: rng.u32(..20) == 0,
        },
    );
    add(
        arrived,
        Event::Began {
            request: of_run,
            worker: of_worker,
        },
    );
    let answered = arrived + Span::millis(rng.u64(5..300));
    let outcome = Outcome::Served;
    add(answered, Event::Answered { request, outcome });
}

fn bounds() -> Bounds {
    let accounts = (0..ACCOUNTS).map(|account| (Name::from(format!("account-{account}")), 1e6));
    Bounds {
        answer_slack: Span::millis(500),
        cold: [(Name::from("s"), 26.0)].into_iter().collect(),
        drain: Span::secs(2),
        evacuation: Span::secs(5),
        lost: 0,
        memory: 0,
        quotas: accounts.collect(),
        quota_window: Span::secs(5),
        retries: RetryBound {
            extra: 56.0,
            ratio: 0.2,
            window: Span::secs(10),
        },
        settle: Span::secs(3),
    }
}
