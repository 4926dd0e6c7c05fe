//! How long the turns of the event loop take. While one lasts, all other events wait: changes,
//! deadlines and the ends of callers' connections.

use {
    crate::{daemon::Daemon, log_event},
    serde_json::json,
    unit::{Span, Time},
};

/// The length of a turn from which on it is logged.
const SLOW_TURN: Span = Span::millis(100);

impl Daemon {
    /// Records a turn that began at `began` and handled this many socket events.
    pub(crate) fn record_turn(&mut self, began: Time, events: usize) {
        let took = self.clock.now().since(began);
        self.metrics.turns.observe(took.as_secs());
        let examined = self.dispatcher.table.examined();
        let newly_examined = examined - self.metrics.examined.get();
        self.metrics.examined.inc_by(newly_examined);
        if took >= SLOW_TURN {
            let fields = json!({
                "took_ms": took.as_millis(),
                "events": events,
                "examined": newly_examined,
                "requests": self.calls.len(),
            });
            self.log_event(began, log_event::TURN_SLOW, fields);
        }
    }
}
