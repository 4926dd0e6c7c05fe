use {
    crate::Backoff,
    conf::{Change, Conflict, Edit, Generation, Root},
    fastrand::Rng,
    serde::Serialize,
    std::collections::VecDeque,
    unit::{Span, Time},
};

/// What has happened to a call that [`Publish`] asked for.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum PublishEvent {
    /// The root has another version than the write named.
    Beaten,
    /// No answer came; a write may have taken effect.
    Lost,
    /// The platform refused the call, and nothing took effect.
    Refused,
    /// The root as read.
    Root(Generation, Root),
    /// The pause is over, or it is time to begin.
    Wake,
    /// The write took effect, with the version it made.
    Wrote(Generation),
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum PublishAction {
    /// Stop with this verdict.
    Finish(Verdict),
    /// Wait, then give [`PublishEvent::Wake`].
    Pause(Span),
    /// Read the root.
    ReadRoot,
    /// Create the object of this name; finding it there already is a success.
    Store(String),
    /// Write the root if it still has the version `base`.
    WriteRoot {
        /// The version that the write names.
        base: Generation,
        /// The new root.
        root: Root,
    },
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Verdict {
    /// Somebody else changed the same thing; nothing was published.
    Conflict(Conflict),
    /// The change is part of the site from this generation on.
    Done(Generation),
    /// The platform could not be reached in time; nothing was published.
    Failed,
    /// The platform could not be reached in time; the change may be published.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    Reading,
    Storing,
    Writing(Generation, Root),
}

/// Publishes one change: stores its files, then swaps the root.
///
/// After a write whose answer was lost, the root is read before anything else is tried, and the
/// change's id in its history settles what became of the write. A repeated write names the same
/// version as the lost one, so that at most one of the two takes effect.
#[derive(Clone, Debug)]
pub struct Publish {
    /// Whether a write of the root may have taken effect unseen.
    ambiguous: bool,
    backoff: Backoff,
    change: Change,
    edit: Edit,
    /// When to give up.
    end: Time,
    objects: VecDeque<String>,
    phase: Phase,
    /// The generation that the operator had looked at; `None` for the first one read.
    seen: Option<Generation>,
}

impl Publish {
    /// Publishes `edit` by `end`; `objects` are the files to store first.
    pub fn new(
        edit: Edit,
        change: Change,
        objects: Vec<String>,
        seen: Option<Generation>,
        end: Time,
    ) -> Self {
        Self {
            ambiguous: false,
            backoff: Backoff::new(Span::millis(50), Span::secs(2)),
            change,
            edit,
            end,
            objects: objects.into(),
            phase: Phase::Reading,
            seen,
        }
    }

    /// Takes an event and says what to do next.
    pub fn step(&mut self, now: Time, event: PublishEvent, rng: &mut Rng) -> PublishAction {
        match event {
            PublishEvent::Beaten => self.read(),
            PublishEvent::Lost | PublishEvent::Refused if now >= self.end => {
                self.note_loss(&event);
                PublishAction::Finish(self.give_up())
            }
            PublishEvent::Lost | PublishEvent::Refused => {
                self.note_loss(&event);
                PublishAction::Pause(self.backoff.next(rng))
            }
            PublishEvent::Root(generation, root) => self.rooted(generation, &root),
            PublishEvent::Wake => self.wake(),
            PublishEvent::Wrote(generation) => self.wrote(generation),
        }
    }

    fn note_loss(&mut self, event: &PublishEvent) {
        let writing = matches!(self.phase, Phase::Writing(..));
        self.ambiguous |= writing && *event == PublishEvent::Lost;
        if writing {
            self.phase = Phase::Reading;
        }
    }

    fn give_up(&self) -> Verdict {
        if self.ambiguous {
            Verdict::Unknown
        } else {
            Verdict::Failed
        }
    }

    fn read(&mut self) -> PublishAction {
        self.phase = Phase::Reading;
        PublishAction::ReadRoot
    }

    fn wake(&mut self) -> PublishAction {
        match &self.phase {
            Phase::Reading => PublishAction::ReadRoot,
            Phase::Storing => self.store(),
            Phase::Writing(base, root) => PublishAction::WriteRoot {
                base: *base,
                root: root.clone(),
            },
        }
    }

    fn store(&mut self) -> PublishAction {
        self.phase = Phase::Storing;
        match self.objects.front() {
            Some(object) => PublishAction::Store(object.clone()),
            None => self.read(),
        }
    }

    fn rooted(&mut self, generation: Generation, root: &Root) -> PublishAction {
        self.backoff.reset();
        if let Some(change) = root.holds(&self.change.id) {
            return PublishAction::Finish(Verdict::Done(Generation(change.generation)));
        }
        let seen = *self.seen.get_or_insert(generation);
        let applied = self.edit.apply(seen, root, generation, self.change.clone());
        match applied {
            Err(conflict) => PublishAction::Finish(Verdict::Conflict(conflict)),
            Ok(_) if !self.objects.is_empty() => self.store(),
            Ok(root) => {
                self.phase = Phase::Writing(generation, root);
                self.wake()
            }
        }
    }

    fn wrote(&mut self, generation: Generation) -> PublishAction {
        self.backoff.reset();
        match self.phase {
            Phase::Storing => {
                self.objects.pop_front();
                self.store()
            }
            Phase::Reading | Phase::Writing(..) => PublishAction::Finish(Verdict::Done(generation)),
        }
    }
}
