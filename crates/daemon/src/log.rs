//! The structured log on standard output.

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

/// The maximum number of batches that wait for the writer thread; further batches are dropped.
const MAX_BATCHES: usize = 256;
/// The size of a batch, in bytes, from which on it is passed to the writer thread at once.
const BATCH_BYTES: usize = 16 << 10;
/// The maximum number of lines about requests per second; further lines are counted and dropped.
const MAX_REQUEST_LINES: u32 = 2_000;
/// The maximum size of the lines about requests that are retained for operators, in bytes.
const MAX_RETAINED_BYTES: usize = 512 << 10;
/// The lowest number of the events about requests.
const FIRST_REQUEST_EVENT: u16 = 400;
/// The end of the range of these numbers, exclusive.
const END_REQUEST_EVENTS: u16 = 500;

/// Writes log lines, each a JSON object, to standard output. A separate thread does the writing, so
/// that requests never wait for a reader that stalls. Lines that can't be written in time are
/// counted and dropped.
pub(crate) struct Log {
    /// Lines that were not yet passed to the writer thread.
    batch: String,
    /// The newest lines about requests, each with the request's id, oldest first.
    retained: VecDeque<(String, String)>,
    /// The size of the retained ids and lines, in bytes.
    retained_bytes: usize,
    /// The number of dropped lines that no log line has reported yet.
    dropped: u64,
    /// The name of the daemon.
    name: Name,
    /// The queue to the writer thread; `None` once the log is finished.
    out: Option<Sender<String>>,
    /// The second of the process's clock that `second_lines` refers to.
    second: u64,
    /// Lines about requests in that second, including those beyond the limit.
    second_lines: u32,
    writer: Option<JoinHandle<()>>,
}

impl Log {
    /// Starts the writer thread. Every line names the daemon.
    pub(crate) fn start(name: Name) -> Self {
        let (out, batches) = bounded(MAX_BATCHES);
        Self {
            batch: String::new(),
            retained: VecDeque::new(),
            retained_bytes: 0,
            dropped: 0,
            name,
            out: Some(out),
            second: 0,
            second_lines: 0,
            writer: Some(thread::spawn(move || write_batches(&batches))),
        }
    }

    /// Adds a line with the common fields and `fields`, a JSON object.
    pub(crate) fn append(&mut self, now: Time, event: LogEvent, fields: Value) {
        let about_request = (FIRST_REQUEST_EVENT..END_REQUEST_EVENTS).contains(&event.number);
        if about_request && !self.within_rate(now) {
            self.dropped += 1;
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
            self.retain(id, text);
        }
        if self.batch.len() >= BATCH_BYTES {
            self.flush(now);
        }
    }

    /// The retained lines about a request, oldest first.
    pub(crate) fn request_lines(&self, request: &str) -> Vec<&str> {
        let lines = self.retained.iter().filter(|(id, _)| id == request);
        lines.map(|(_, line)| line.as_str()).collect()
    }

    /// Passes the batch to the writer thread, or drops it if the thread has fallen behind or ended.
    pub(crate) fn flush(&mut self, now: Time) {
        if self.batch.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut self.batch);
        let Some(out) = &self.out else {
            return;
        };
        match out.try_send(batch) {
            Ok(()) => self.log_dropped(now),
            Err(TrySendError::Full(batch) | TrySendError::Disconnected(batch)) => {
                self.dropped += batch.lines().count() as u64;
            }
        }
    }

    /// Passes the last batch to the writer thread and waits for the thread to end.
    pub(crate) fn finish(&mut self, now: Time) {
        self.flush(now);
        self.out = None;
        if let Some(writer) = self.writer.take() {
            // The thread only ends early if standard output is closed; nothing can be reported
            // then.
            let _ = writer.join();
        }
    }

    /// Counts a line about a request; returns whether it is within the limit of its second.
    fn within_rate(&mut self, now: Time) -> bool {
        let second = now.since(Time::ZERO).as_millis() / 1_000;
        if second != self.second {
            self.second = second;
            self.second_lines = 0;
        }
        self.second_lines += 1;
        self.second_lines <= MAX_REQUEST_LINES
    }

    /// Retains a line about a request, and drops the oldest lines beyond the size limit.
    fn retain(&mut self, id: String, line: String) {
        self.retained_bytes += id.len() + line.len();
        self.retained.push_back((id, line));
        while self.retained_bytes > MAX_RETAINED_BYTES {
            let Some((id, line)) = self.retained.pop_front() else {
                return;
            };
            self.retained_bytes -= id.len() + line.len();
        }
    }

    /// Adds a line with the number of dropped lines, if any were dropped.
    fn log_dropped(&mut self, now: Time) {
        if self.dropped > 0 {
            let dropped = std::mem::take(&mut self.dropped);
            self.append(now, log_event::LOG_LINES_LOST, json!({"lines": dropped}));
        }
    }
}

/// Writes batches until the queue is closed; batches that are waiting are written together.
fn write_batches(batches: &Receiver<String>) {
    let mut out = std::io::stdout();
    while let Ok(mut batch) = batches.recv() {
        for more in batches.try_iter() {
            batch.push_str(&more);
        }
        if out.write_all(batch.as_bytes()).is_err() || out.flush().is_err() {
            // Standard output is closed, so the failure can't be reported anywhere.
            return;
        }
    }
}
