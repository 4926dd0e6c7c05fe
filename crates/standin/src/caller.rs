//! A caller: asks which address to use, keeps the answer a while, connects there itself.

use {
    back::{Ready, wait},
    serde::Deserialize,
    std::{
        collections::HashMap,
        net::{SocketAddr, TcpStream},
        time::{Duration, Instant},
    },
    wire::{Conn, Limits, Request, Response, WireError},
};

const CONNECT: Duration = Duration::from_millis(500);
const ANSWER: usize = 4 << 20;
/// The longest time that a caller waits over its deadline.
const GRACE: Duration = Duration::from_millis(1_500);

/// What a caller learnt of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ended {
    /// The answer belongs to another request, or isn't whole.
    Crossed,
    /// No answer came, and it may have run.
    Lost,
    /// It surely did not run.
    NotRun,
    /// It ran, and this is its whole answer.
    Ran,
    /// It may have run, as the system says.
    Unknown,
}

/// One call.
#[derive(Clone, Debug)]
pub struct Order {
    /// The time that the caller gives it.
    pub deadline: Duration,
    /// Unique among all calls; the answer must show it.
    pub id: String,
    /// Whether it must run at most once.
    pub once: bool,
    /// The path below the service.
    pub path: String,
    /// The service.
    pub service: String,
    /// The work that it is to the upstream.
    pub work: Duration,
}

/// What came of a call.
#[derive(Clone, Copy, Debug)]
pub struct Reply {
    /// When to come back, where the system says so.
    pub after: Option<Duration>,
    /// What the caller knows.
    pub ended: Ended,
    /// The time from the last sending to the answer.
    pub took: Duration,
}

#[derive(Deserialize)]
struct Answer {
    entries: Vec<Entry>,
    max_age_ms: u64,
    ticket: Option<String>,
}

#[derive(Deserialize)]
struct Entry {
    address: SocketAddr,
}

#[derive(Clone)]
struct Kept {
    entries: Vec<SocketAddr>,
    until: Instant,
    ticket: String,
}

/// A caller with its connections and the answers that it keeps.
pub struct Caller {
    conns: HashMap<SocketAddr, Conn>,
    /// Addresses to ask where no answer is kept.
    daemons: Vec<SocketAddr>,
    kept: HashMap<String, Kept>,
    rng: fastrand::Rng,
}

impl Caller {
    /// A caller that knows the addresses of these daemons.
    pub fn new(daemons: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            conns: HashMap::new(),
            daemons,
            kept: HashMap::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Makes a call once; where a daemon can't be reached, asks others for the way.
    ///
    /// A call that runs at most once is asked for again only with the same key and ticket, at the
    /// same daemon, unless no byte of it had left.
    pub fn call(&mut self, order: &Order) -> Reply {
        let end = Instant::now() + order.deadline + GRACE;
        let mut sent = Instant::now();
        let mut tried = 0;
        while Instant::now() < end && tried < 6 {
            tried += 1;
            let Some(kept) = self.entries(&order.service) else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            let Some(&address) = kept.entries.first() else {
                self.kept.remove(&order.service);
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            sent = Instant::now();
            match self.send(address, order, &kept.ticket, end) {
                Ok(response) => return judge(order, &response, sent.elapsed()),
                Err(Failure::Unsent) => self.turn_away(&order.service, address),
                Err(Failure::Sent) if !order.once => self.turn_away(&order.service, address),
                Err(Failure::Sent) => {
                    self.turn_away(&order.service, address);
                    return self.ask_again(address, order, &kept.ticket, end, sent);
                }
            }
        }
        reply(Ended::Lost, sent.elapsed())
    }

    /// Makes a call again and again while it surely did not run, for at most `patience`.
    pub fn insist(&mut self, order: &Order, patience: Duration) -> Reply {
        let end = Instant::now() + patience;
        loop {
            let reply = self.call(order);
            let again = reply.ended == Ended::NotRun
                || (reply.ended != Ended::Ran && reply.ended != Ended::Crossed && !order.once);
            if !again || Instant::now() >= end {
                return reply;
            }
            let after = reply.after.unwrap_or(Duration::from_millis(50));
            std::thread::sleep(after.min(Duration::from_millis(500)));
            self.kept.remove(&order.service);
        }
    }

    /// Asks what became of a call whose connection broke: with the same ticket and key.
    fn ask_again(
        &mut self,
        address: SocketAddr,
        order: &Order,
        ticket: &str,
        end: Instant,
        sent: Instant,
    ) -> Reply {
        let mut last = Ended::Lost;
        while Instant::now() < end {
            match self.send(address, order, ticket, end) {
                Ok(response) => {
                    let reply = judge(order, &response, sent.elapsed());
                    if reply.after.is_none() || reply.ended == Ended::Ran {
                        return reply;
                    }
                    last = reply.ended;
                }
                // The daemon that alone knows is gone.
                Err(Failure::Unsent) => return reply(Ended::Unknown, sent.elapsed()),
                Err(Failure::Sent) => {}
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        reply(last, sent.elapsed())
    }

    /// The kept answer for a service, asked for anew where it is too old.
    fn entries(&mut self, service: &str) -> Option<Kept> {
        if let Some(kept) = self.kept.get(service)
            && Instant::now() < kept.until
        {
            return Some(kept.clone());
        }
        let mut order: Vec<SocketAddr> = self.daemons.clone();
        self.rng.shuffle(&mut order);
        for address in order {
            let Some(answer) = self.ask(address, service) else {
                continue;
            };
            let kept = Kept {
                entries: answer.entries.iter().map(|entry| entry.address).collect(),
                ticket: answer.ticket.unwrap_or_default(),
                until: Instant::now() + Duration::from_millis(answer.max_age_ms),
            };
            self.kept.insert(service.to_owned(), kept.clone());
            return Some(kept);
        }
        None
    }

    fn ask(&mut self, address: SocketAddr, service: &str) -> Option<Answer> {
        let mut conn = self.conn(address).ok()?;
        let mut request = Request::new("GET", &format!("/v1/entries?service={service}"));
        request.headers.add("Host", address);
        conn.write_request(&request).ok()?;
        let end = Instant::now() + CONNECT;
        let response = conn.read_response(ANSWER, false, end).ok()?;
        let answer = serde_json::from_slice(&response.body).ok();
        if !response.last {
            self.conns.insert(address, conn);
        }
        answer.filter(|_| response.status == 200)
    }

    /// Drops an address from the kept answer, and the answer with its last address.
    ///
    /// The ticket names the first entry, so an answer without it is asked for anew.
    fn turn_away(&mut self, service: &str, address: SocketAddr) {
        self.conns.remove(&address);
        self.kept.remove(service);
    }

    fn conn(&mut self, address: SocketAddr) -> Result<Conn, WireError> {
        if let Some(conn) = self.conns.remove(&address)
            && wait(&[], Some(conn.sock()), Instant::now()) == Ready::Timeout
        {
            return Ok(conn);
        }
        let sock = TcpStream::connect_timeout(&address, CONNECT)?;
        Conn::new(sock, Limits::default())
    }

    fn send(
        &mut self,
        address: SocketAddr,
        order: &Order,
        ticket: &str,
        end: Instant,
    ) -> Result<Response, Failure> {
        let mut conn = self.conn(address).map_err(|_| Failure::Unsent)?;
        let method = if order.once { "POST" } else { "GET" };
        let target = format!("/s/{}{}", order.service, order.path);
        let mut request = Request::new(method, &target);
        request.headers.add("Host", address);
        request.headers.add("X-Work-Us", order.work.as_micros());
        request.headers.add("X-Echo", &order.id);
        request
            .headers
            .add("Anvilferry-Deadline-Ms", order.deadline.as_millis());
        if order.once {
            request.headers.add("Idempotency-Key", &order.id);
            request.headers.add("Anvilferry-Ticket", ticket);
            request.body = order.id.clone().into_bytes();
        }
        conn.write_request(&request).map_err(|_| Failure::Sent)?;
        let response = conn
            .read_response(ANSWER, false, end)
            .map_err(|_| Failure::Sent)?;
        if !response.last {
            self.conns.insert(address, conn);
        }
        Ok(response)
    }
}

enum Failure {
    Sent,
    Unsent,
}

fn judge(order: &Order, response: &Response, took: Duration) -> Reply {
    let header = |name: &str| response.headers.get(name);
    let whole = response.status == 200 && response.body == order.id.as_bytes();
    let ended = match header("anvilferry-outcome") {
        Some("ran") if whole => Ended::Ran,
        Some("ran") if response.status == 200 => Ended::Crossed,
        Some("not-run") => Ended::NotRun,
        Some("ran" | "unknown") => Ended::Unknown,
        _ => Ended::Lost,
    };
    let after = header("anvilferry-retry-after-ms").and_then(|text| text.parse().ok());
    let again = header("retry-after").is_some();
    Reply {
        after: after.map(Duration::from_millis).filter(|_| again),
        ended,
        took,
    }
}

fn reply(ended: Ended, took: Duration) -> Reply {
    Reply {
        after: None,
        ended,
        took,
    }
}
