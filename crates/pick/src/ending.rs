use {
    crate::{Action, Decision, Desk, Verdict},
    unit::{Name, Span, Time},
};

/// How long a worker that refused work gets none.
const SHED: Span = Span::millis(20);
/// How long a worker that said it is leaving gets none.
const DRAINING: Span = Span::secs(5);

impl Desk {
    /// Takes the end of a request into account.
    pub(crate) fn end(
        &mut self,
        now: Time,
        id: u64,
        name: &Name,
        verdict: Verdict,
        reuse: bool,
        out: &mut Vec<Action>,
    ) {
        let usual = self.latency.middle().unwrap_or_default();
        let patience = self.patience();
        let Some(worker) = self.worker(name) else {
            return;
        };
        let sent = worker.flying.iter().position(|(_, flying)| *flying == id);
        let sent = sent.and_then(|at| worker.flying.remove(at));
        worker.idle += u32::from(reuse);
        match verdict {
            Verdict::Answered(span) => self.answered(now, name, span, usual, out),
            Verdict::Erred(_) => {
                worker.seen = now;
                self.failed(now, name, out);
            }
            Verdict::Cancelled => {
                // A lower bound of what the answer would have taken.
                let span = sent.map_or(Span::ZERO, |(at, _)| now - at);
                if span > patience && usual > Span::ZERO {
                    worker.ratio.add(span.as_secs() / usual.as_secs());
                }
            }
            Verdict::Draining => worker.rest = now + DRAINING,
            Verdict::Shed => {
                worker.seen = now;
                worker.rest = now + SHED;
            }
            Verdict::Unconnected => worker.idle = 0,
            Verdict::Failed | Verdict::Silent | Verdict::Unsent => {
                worker.idle = 0;
                worker.doubt |= verdict != Verdict::Silent;
                out.push(Action::Drop(name.clone()));
                if verdict == Verdict::Unsent {
                    self.report_doubt(name, out);
                } else {
                    self.failed(now, name, out);
                }
            }
        }
    }

    pub(crate) fn answered(
        &mut self,
        now: Time,
        name: &Name,
        span: Span,
        usual: Span,
        out: &mut Vec<Action>,
    ) {
        self.latency.add(span);
        let Some(worker) = self.worker(name) else {
            return;
        };
        let (was_slow, was_warm) = (worker.ratio.slow(), worker.ramp.warm());
        worker.seen = now;
        // Every connection leads to the life that was last seen.
        worker.doubt = false;
        worker.health.good();
        if usual > Span::ZERO {
            worker.ratio.add(span.as_secs() / usual.as_secs());
        }
        if worker.mine {
            worker.ramp.good();
        }
        if worker.ratio.slow() && !was_slow {
            out.push(Action::Note(Decision::Slow(name.clone())));
        }
        if worker.ramp.warm() && !was_warm {
            out.push(Action::Note(Decision::Warm(name.clone())));
            out.push(Action::Tell(self.news(name)));
        }
    }

    pub(crate) fn failed(&mut self, now: Time, name: &Name, out: &mut Vec<Action>) {
        let Some(worker) = self.worker(name) else {
            return;
        };
        if !worker.health.bad(now) {
            return;
        }
        out.push(Action::Note(Decision::Failing(name.clone())));
        if worker.mine {
            worker.ramp.bad();
            out.push(Action::Note(Decision::Cold {
                why: "a run of failures",
                worker: name.clone(),
            }));
        }
    }
}
