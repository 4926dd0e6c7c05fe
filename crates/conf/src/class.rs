use {
    crate::{Kind, Priority, doc::Doc},
    serde::Serialize,
    unit::{Name, Span},
};

pub(crate) const KEYS: &[&str] = &[
    "answer_kb",
    "deadline_ms",
    "kind",
    "methods",
    "path",
    "priority",
];

/// A class of requests to a service, told apart by method and path.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Class {
    /// The longest answer, in bytes.
    pub answer: usize,
    /// The time that a request has at most, from its arrival to the end of its answer.
    pub deadline: Span,
    /// Whether it may run again.
    pub kind: Kind,
    /// The methods; empty for every method.
    pub methods: Vec<String>,
    /// The class's name.
    pub name: Name,
    /// The prefix that the path begins with.
    pub path: String,
    /// Which requests go first.
    pub priority: Priority,
}

impl Class {
    pub(crate) fn read(doc: &Doc<'_>, section: &str, name: &str) -> Option<Self> {
        let kind = doc.parse_with(
            section,
            "kind",
            "give at-most-once or idempotent",
            Kind::parse,
        );
        let priority = doc.parse_with(
            section,
            "priority",
            "give interactive or deferrable",
            Priority::parse,
        );
        let path = doc.text(section, "path").unwrap_or("/").to_owned();
        if !path.starts_with('/') {
            doc.report(section, "path", "path is not absolute", "begin it with /");
        }
        let methods: Vec<String> = doc
            .text(section, "methods")
            .unwrap_or_default()
            .split_whitespace()
            .map(str::to_owned)
            .collect();
        if methods
            .iter()
            .any(|word| !word.bytes().all(|byte| byte.is_ascii_uppercase()))
        {
            doc.report(
                section,
                "methods",
                "not a list of methods",
                "give methods in capitals",
            );
        }
        let deadline = doc.millis(section, "deadline_ms", 10..=600_000, 5_000);
        let answer = doc.number(section, "answer_kb", 1..=16_384, 1_024) << 10;
        Some(Self {
            answer,
            deadline,
            kind: kind?,
            methods,
            name: name.into(),
            path,
            priority: priority?,
        })
    }

    /// Whether a request of this method and path belongs to the class.
    pub fn covers(&self, method: &str, path: &str) -> bool {
        let method = self.methods.is_empty() || self.methods.iter().any(|own| own == method);
        method && path.starts_with(&self.path)
    }
}
