use {
    crate::{Bounds, Entry},
    derive_more::{Display, Error},
    std::io::{self, BufRead, Write},
};

/// What happened to a fleet: the bounds of what was promised, and all entries in their order.
///
/// As a file it has one JSON value a line: the bounds, and then the entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// The bounds of the promises in force.
    pub bounds: Bounds,
    /// What happened; their times never go back.
    pub entries: Vec<Entry>,
}

/// The reason why a record can't be read.
#[derive(Debug, Display, Error)]
#[display("line {line}: {reason}")]
pub struct RecordError {
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong with it.
    pub reason: String,
}

impl Record {
    /// Makes a record of entries in any order.
    pub fn new(bounds: Bounds, mut entries: Vec<Entry>) -> Self {
        entries.sort_by_key(|entry| entry.at);
        Self { bounds, entries }
    }

    /// Reads a record.
    ///
    /// # Errors
    /// Fails if there are no bounds, if a line can't be read or decoded, or if an entry is earlier
    /// than the one before it.
    pub fn read(from: impl BufRead) -> Result<Self, RecordError> {
        let mut bounds = None;
        let mut entries: Vec<Entry> = Vec::new();
        for (index, text) in from.lines().enumerate() {
            let line = index + 1;
            let error = |reason: String| RecordError { line, reason };
            let text = text.map_err(|reason| error(reason.to_string()))?;
            if bounds.is_none() {
                let read = serde_json::from_str(&text);
                bounds = Some(read.map_err(|reason| error(reason.to_string()))?);
                continue;
            }
            let read = serde_json::from_str(&text);
            let entry: Entry = read.map_err(|reason| error(reason.to_string()))?;
            if entries.last().is_some_and(|last| last.at > entry.at) {
                return Err(error("earlier than the entry before it".to_owned()));
            }
            entries.push(entry);
        }
        let missing = RecordError {
            line: 1,
            reason: "the bounds are missing".to_owned(),
        };
        let bounds = bounds.ok_or(missing)?;
        Ok(Self { bounds, entries })
    }

    /// Writes the record.
    ///
    /// # Errors
    /// Fails if a value can't be encoded or `to` can't be written.
    pub fn write(&self, mut to: impl Write) -> io::Result<()> {
        serde_json::to_writer(&mut to, &self.bounds)?;
        to.write_all(b"\n")?;
        for entry in &self.entries {
            serde_json::to_writer(&mut to, entry)?;
            to.write_all(b"\n")?;
        }
        to.flush()
    }
}
