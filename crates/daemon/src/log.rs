use {
    crate::log_event::{self, LogEvent},
    crossbeam::channel::{Receiver, Sender, TrySendError, bounded},
    serde_json::{Map, Value, json},
    std::{
        collections::VecDeque,
        io::Write,
        thread::{self, JoinHandle},
    },
    unit::{Clock, Name, Time},
};

/// Batches of lines that wait to be written before further ones are dropped.
const MAX_BATCHES: usize = 256;
/// The size of a batch, in bytes, from which on it is handed over early.
const BATCH: usize = 16 << 10;
/// Lines a second about requests; further ones are counted and dropped.
const MAX_REQUEST_LINES: u32 = 2_000;
/// Lines about requests that are kept for the operators, in bytes.
const MAX_KEPT: usize = 512 << 10;
/// The first number of events about requests.
const FIRST_REQUEST_EVENT: u16 = 400;
/// The first number after those.
const END_REQUEST_EVENTS: u16 = 500;

/// Writes structured log lines to standard output from a thread of its own, so that a reader that
/// stalls never holds up a request. Lines beyond what can be written are counted and dropped.
pub(crate) struct Log {
    batch: String,
    /// The newest lines about requests, each with the request's id.
    kept: VecDeque<(String, String)>,
    kept_size: usize,
    lost: u64,
    name: Name,
    out: Option<Sender<String>>,
    /// The second of the process's clock in which `spent` lines about requests were written.
    second: u64,
    spent: u32,
    writer: Option<JoinHandle<()>>,
}

impl Log {
    pub(crate) fn start(name: Name) -> Self {
        let (out, batches) = bounded(MAX_BATCHES);
        Self {
            batch: String::new(),
            kept: VecDeque::new(),
            kept_size: 0,
            lost: 0,
            name,
            out: Some(out),
            second: 0,
            spent: 0,
            writer: Some(thread::spawn(move || write(&batches))),
        }
    }

    /// Adds a line with `fields`, a JSON object.
    pub(crate) fn append(&mut self, now: Time, event: LogEvent, fields: Value) {
        let about_request = (FIRST_REQUEST_EVENT..END_REQUEST_EVENTS).contains(&event.number);
        if about_request && !self.admits(now) {
            self.lost += 1;
            return;
        }
        let mut line = Map::new();
        line.insert("at_ms".into(), json!(now.since(Time::ZERO).as_millis()));
        line.insert("unix_ms".into(), json!(Clock::unix_millis()));
        line.insert("no".into(), json!(event.number));
        line.insert("event".into(), json!(event.name));
        line.insert("daemon".into(), json!(self.name));
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        let id = line.get("request").and_then(Value::as_str);
        let id = id.filter(|_| about_request).map(str::to_owned);
        let text = Value::Object(line).to_string();
        self.batch.push_str(&text);
        self.batch.push('\n');
        if let Some(id) = id {
            self.keep(id, text);
        }
        if self.batch.len() >= BATCH {
            self.flush(now);
        }
    }

    /// The kept lines about a request, oldest first.
    pub(crate) fn request_lines(&self, request: &str) -> Vec<&str> {
        let lines = self.kept.iter().filter(|(id, _)| id == request);
        lines.map(|(_, line)| line.as_str()).collect()
    }

    /// Hands the lines so far to the writer.
    pub(crate) fn flush(&mut self, now: Time) {
        if self.batch.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut self.batch);
        let Some(out) = &self.out else {
            return;
        };
        match out.try_send(batch) {
            Ok(()) => self.tell_lost(now),
            Err(TrySendError::Full(batch) | TrySendError::Disconnected(batch)) => {
                self.lost += batch.lines().count() as u64;
            }
        }
    }

    /// Writes what is left and ends the writer.
    pub(crate) fn finish(&mut self, now: Time) {
        self.flush(now);
        self.out = None;
        if let Some(writer) = self.writer.take() {
            // The writer only ends early where standard output is closed; nothing can be told then.
            let _ = writer.join();
        }
    }

    fn admits(&mut self, now: Time) -> bool {
        let second = now.since(Time::ZERO).as_millis() / 1_000;
        if second != self.second {
            self.second = second;
            self.spent = 0;
        }
        self.spent += 1;
        self.spent <= MAX_REQUEST_LINES
    }

    fn keep(&mut self, id: String, line: String) {
        self.kept_size += id.len() + line.len();
        self.kept.push_back((id, line));
        while self.kept_size > MAX_KEPT {
            let Some((id, line)) = self.kept.pop_front() else {
                return;
            };
            self.kept_size -= id.len() + line.len();
        }
    }

    fn tell_lost(&mut self, now: Time) {
        if self.lost > 0 {
            let lost = std::mem::take(&mut self.lost);
            self.append(now, log_event::LOG_LINES_LOST, json!({"lines": lost}));
        }
    }
}

/// Writes batches until the other end is closed; several that wait go out together.
fn write(batches: &Receiver<String>) {
    let mut out = std::io::stdout();
    while let Ok(mut batch) = batches.recv() {
        for more in batches.try_iter() {
            batch.push_str(&more);
        }
        if out.write_all(batch.as_bytes()).is_err() || out.flush().is_err() {
            // Standard output is closed, so there is nowhere left to say so.
            return;
        }
    }
}
