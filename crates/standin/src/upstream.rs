//! A process of many workers, with an address to steer them.
//!
//! `POST /mood?worker=NAME` with a [`Mood`] as JSON, `POST /restart?worker=NAME`, `GET /counts`.

use {
    crate::{
        StandinError,
        mood::Mood,
        worker::{Shape, Worker},
    },
    parking_lot::Mutex,
    std::{
        collections::BTreeMap,
        io::Write,
        net::{Ipv4Addr, SocketAddr, TcpStream},
        sync::Arc,
        thread,
        time::Duration,
    },
    wire::{Handler, Limits, Request, Response, Server},
};

struct Desk(Arc<Worker>);

impl Handler for Desk {
    fn handle(&self, request: Request, sock: &TcpStream) -> Option<Response> {
        self.0.handle(&request, sock)
    }
}

struct Seat {
    address: SocketAddr,
    server: Mutex<Option<Server>>,
    worker: Arc<Worker>,
}

struct Control(BTreeMap<String, Seat>);

impl Handler for Control {
    fn handle(&self, request: Request, _sock: &TcpStream) -> Option<Response> {
        let seat = request.query("worker").and_then(|name| self.0.get(name));
        let response = match (request.path(), seat) {
            ("/counts", _) => self.counts(),
            ("/mood", Some(seat)) => match serde_json::from_slice::<Mood>(&request.body) {
                Ok(mood) => {
                    seat.worker.set_mood(mood);
                    Response::text(200, "ok")
                }
                Err(error) => Response::text(400, error),
            },
            ("/restart", Some(seat)) => match restart(seat) {
                Ok(()) => Response::text(200, "ok"),
                Err(error) => Response::text(500, error),
            },
            ("/stop", Some(seat)) => {
                drop(seat.server.lock().take());
                seat.worker.restart();
                Response::text(200, "ok")
            }
            _ => Response::text(404, "no such call or worker"),
        };
        Some(response)
    }
}

impl Control {
    fn counts(&self) -> Response {
        let counts: BTreeMap<&String, _> = self
            .0
            .iter()
            .map(|(name, seat)| (name, seat.worker.count()))
            .collect();
        match serde_json::to_string(&counts) {
            Ok(text) => Response::json(200, text),
            Err(error) => Response::text(500, error),
        }
    }
}

/// Closes every connection and begins a new life at the same address.
fn restart(seat: &Seat) -> std::io::Result<()> {
    let mut server = seat.server.lock();
    seat.worker.restart();
    drop(server.take());
    *server = Some(listen(seat.address, &seat.worker)?);
    Ok(())
}

fn listen(address: SocketAddr, worker: &Arc<Worker>) -> std::io::Result<Server> {
    let limits = Limits {
        idle: Duration::from_secs(600),
        ..Limits::default()
    };
    Server::start(address, limits, Arc::new(Desk(Arc::clone(worker))))
}

/// Runs workers of the given names until the process ends.
///
/// # Errors
/// Fails where an address can't be bound.
pub fn run(shape: Shape, names: &[String]) -> Result<(), StandinError> {
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut seats = BTreeMap::new();
    let mut line = String::from("ready");
    for name in names {
        let worker = Arc::new(Worker::new(shape));
        let server = listen(free, &worker)?;
        let address = server.address();
        line += &format!(" {name}={address}");
        let seat = Seat {
            address,
            server: Mutex::new(Some(server)),
            worker,
        };
        seats.insert(name.clone(), seat);
    }
    let control = Server::start(free, Limits::default(), Arc::new(Control(seats)))?;
    println!("{line} control={}", control.address());
    std::io::stdout().flush()?;
    loop {
        thread::park();
    }
}
