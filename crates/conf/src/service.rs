use {
    crate::{
        Class, Kind, OBJECT_LIMIT, Priority, Problem, Problems, class::KEYS as CLASS, doc::Doc,
    },
    serde::Serialize,
    unit::{Name, Span},
};

const SERVICE: &[&str] = &[
    "caller_requests",
    "cold_start",
    "conns",
    "entries",
    "extra_percent",
    "name",
    "out_percent",
    "probe_path",
    "probes",
    "queue",
    "slots",
];

/// What a service file says.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Service {
    /// The most requests of one caller's address that a daemon holds at once.
    pub caller: usize,
    /// The classes, in the order in which they are tried.
    pub classes: Vec<Class>,
    /// The requests that a worker bears at once right after its start.
    pub cold: u32,
    /// The most connections of the whole fleet to one worker.
    pub conns: u32,
    /// The daemons that serve this service at once, in one region.
    pub entries: usize,
    /// Hedges and retries, in percent of first tries.
    pub extra: u32,
    /// The service's name.
    pub name: Name,
    /// The largest share of workers left out for slowness or failures, in percent.
    pub out: u32,
    /// The path of the workers' load endpoint.
    pub probe: String,
    /// Measuring requests per worker and second, of the whole fleet.
    pub probes: u32,
    /// The requests that may wait in one daemon.
    pub queue: usize,
    /// The requests that a warm worker runs at once.
    pub slots: u32,
}

impl Service {
    /// Reads a service file; `file` stands in the problems.
    ///
    /// # Errors
    /// Every wrong section and key.
    pub fn parse(file: &str, text: &str) -> Result<Self, Problems> {
        if text.len() > OBJECT_LIMIT / 2 {
            return Err(Problems(vec![Problem {
                allowed: format!("at most {} bytes are allowed", OBJECT_LIMIT / 2),
                file: file.to_owned(),
                key: "file".to_owned(),
                line: 1,
                wrong: format!("file has {} bytes", text.len()),
            }]));
        }
        let doc = Doc::parse(file, text)?;
        doc.allow(|section| match section {
            "service" => Some(SERVICE),
            other => class_name(other).map(|_| CLASS),
        });
        let service = Self::read(&doc);
        doc.finish(service)
    }

    fn read(doc: &Doc<'_>) -> Option<Self> {
        let main = "service";
        let name = doc.name(main, "name");
        let classes: Vec<Class> = doc
            .sections()
            .into_iter()
            .filter_map(|section| Class::read(doc, section, class_name(section)?))
            .collect();
        if classes.is_empty() {
            let allowed = "add a [class NAME] section with kind and priority";
            doc.report(main, "", "no class is valid", allowed);
        }
        let slots = doc.number(main, "slots", 1..=1_024, 4);
        let cold = doc.number(main, "cold_start", 1..=1_024, 1);
        if cold > slots {
            doc.report(
                main,
                "cold_start",
                "more than slots",
                "give at most the number of slots",
            );
        }
        let probe = doc.text(main, "probe_path").unwrap_or("/load").to_owned();
        if !probe.starts_with('/') {
            doc.report(
                main,
                "probe_path",
                "path is not absolute",
                "begin it with /",
            );
        }
        Some(Self {
            caller: doc.number(main, "caller_requests", 1..=100_000, 1_000),
            classes,
            cold,
            conns: doc.number(main, "conns", 1..=65_535, 220),
            entries: doc.number(main, "entries", 1..=64, 3),
            extra: doc.number(main, "extra_percent", 0..=10, 5),
            name: name?.into(),
            out: doc.number(main, "out_percent", 0..=50, 30),
            probe,
            probes: doc.number(main, "probes", 1..=1_000, 20),
            queue: doc.number(main, "queue", 1..=100_000, 256),
            slots,
        })
    }

    /// The first class that covers a request.
    pub fn class(&self, method: &str, path: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.covers(method, path))
    }

    /// Whether any class runs at most once.
    pub fn careful(&self) -> bool {
        self.classes
            .iter()
            .any(|class| class.kind == Kind::AtMostOnce)
    }

    /// The longest deadline of its classes of one priority.
    pub fn patience(&self, priority: Priority) -> Span {
        let own = self
            .classes
            .iter()
            .filter(|class| class.priority == priority);
        own.map(|class| class.deadline).max().unwrap_or_default()
    }
}

fn class_name(section: &str) -> Option<&str> {
    let name = section.strip_prefix("class ")?.trim();
    (!name.is_empty()).then_some(name)
}
