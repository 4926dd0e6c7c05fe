//! Data centres that are evacuated.

use {
    crate::{Breach, Case, Event, Promise},
    unit::{Map, Name, Time},
};

/// The evacuation of a data centre: from its acknowledgement to that of its end.
struct Evacuation<'a> {
    centre: &'a Name,
    from: Time,
    to: Option<Time>,
}

/// Requests that reached an evacuated data centre's workers too late.
pub(crate) fn judge(case: &Case<'_>) -> Vec<Breach> {
    let evacuations = evacuations(case);
    let centres = centres(case);
    let mut breaches = Vec::new();
    for (id, request, sent) in case.requests.sent() {
        for visit in &request.arrivals {
            let centre = centres.get(visit.worker);
            let mut of_centre = evacuations
                .iter()
                .filter(|evacuation| Some(&evacuation.centre) == centre);
            let late = of_centre.find(|evacuation| {
                visit.at > evacuation.from + case.bounds.evacuation
                    && evacuation.to.is_none_or(|end| visit.at < end)
            });
            let Some(late) = late else {
                continue;
            };
            if case.changes_spread((late.from, visit.at), sent.daemon) {
                let after = visit.at.since(late.from).as_millis();
                breaches.push(Breach {
                    at: visit.at,
                    evidence: format!(
                        "{id} reached {} in {} {after} ms after its evacuation",
                        visit.worker, late.centre
                    ),
                    promise: Promise::Evacuation,
                });
            }
        }
    }
    breaches
}

fn evacuations<'a>(case: &Case<'a>) -> Vec<Evacuation<'a>> {
    let mut evacuations: Vec<Evacuation<'a>> = Vec::new();
    for entry in case.entries {
        match &entry.event {
            Event::Evacuated { centre } => evacuations.push(Evacuation {
                centre,
                from: entry.at,
                to: None,
            }),
            Event::Returned { centre } => {
                let open = evacuations
                    .iter_mut()
                    .filter(|evacuation| evacuation.centre == centre && evacuation.to.is_none());
                open.for_each(|evacuation| evacuation.to = Some(entry.at));
            }
            _ => {}
        }
    }
    evacuations
}

/// The data centre of each worker.
fn centres<'a>(case: &Case<'a>) -> Map<&'a Name, &'a Name> {
    let joined = case.entries.iter().filter_map(|entry| match &entry.event {
        Event::Joined { worker, centre, .. } => Some((worker, centre)),
        _ => None,
    });
    joined.collect()
}
