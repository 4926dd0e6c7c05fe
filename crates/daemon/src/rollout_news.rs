//! What daemons tell each other of rollouts.

use {
    crate::{daemon::Daemon, log_event, rollouts::rollout_json},
    peer::{Section, SectionTag, Stage},
    rollout::{Listing, Phase, RolloutSection},
    site::{Change, Departure, Rev, Topic},
    unit::{Span, Time},
};

/// Heartbeats hold at most this many daemons' reports of one rollout. A daemon sends 30 heartbeats a
/// second, so that each report more costs about 2 KB a second.
const MAX_REPORTS: usize = 4;
/// The heartbeats of one tick in this many hold the list of all rollouts, as do those right after a
/// change.
const LISTING_ONE_IN: u64 = 5;
/// How long after a change of rollouts, or after they became known, each heartbeat lists them.
const CHANGE_TIME: Span = Span::secs(2);
impl Daemon {
    /// The section about rollouts for a heartbeat; `None` where there is nothing to tell.
    pub(crate) fn rollout_section(&mut self, now: Time) -> Option<Section> {
        let book = self.rollouts.as_ref()?;
        let recent = book.changed.is_some_and(|at| now.since(at) < CHANGE_TIME);
        let lists = recent || self.beat.ticks.is_multiple_of(LISTING_ONE_IN);
        self.encode_rollouts(now, lists)
    }

    /// The section with the list of all rollouts, for a daemon that has just started; `None` if this
    /// daemon doesn't know them.
    pub(crate) fn rollout_listing(&mut self, now: Time) -> Option<Section> {
        if !self.knows_versions() {
            return None;
        }
        self.encode_rollouts(now, true)
    }

    fn encode_rollouts(&mut self, now: Time, lists: bool) -> Option<Section> {
        let book = self.rollouts.as_ref()?;
        let established = book.versions.established();
        let listing = lists.then(|| Listing {
            established: established
                .map(|(service, version)| (service.clone(), version.clone()))
                .collect(),
            items: self.view.rollout_items(),
        });
        let running = self.dispatcher.rollouts.values_mut();
        let running = running.filter(|rollout| !rollout.object().is_decided());
        let section = RolloutSection {
            known: book.known,
            listing,
            news: running
                .map(|rollout| rollout.news(now, MAX_REPORTS))
                .collect(),
            rev: self.view.revs().rollouts,
        };
        Section::new(SectionTag::Rollouts, &section).ok()
    }

    /// Takes what another daemon tells of rollouts. A section that can't be read is skipped, as one
    /// of an unknown tag is.
    pub(crate) fn adopt_rollouts(&mut self, now: Time, sections: &[Section], source: &str) {
        if self.rollouts.is_none() {
            return;
        }
        let mut sections = sections.iter();
        let section = sections.find(|section| section.has_tag(SectionTag::Rollouts));
        let Some(Ok(section)) = section.map(Section::content::<RolloutSection>) else {
            return;
        };
        if let Some(listing) = section.listing {
            self.adopt_listing(now, listing, section.rev, source);
        }
        // The sender knows all changes up to `known`, and this daemon has all that the sender has.
        if self.view.revs().rollouts >= section.rev {
            self.raise_known(now, section.known);
        }
        for news in section.news {
            let mut rollouts = self.dispatcher.rollouts.values_mut();
            if let Some(rollout) = rollouts.find(|rollout| rollout.id() == news.id) {
                let shifting = rollout.phase() == Phase::Shifting;
                rollout.adopt(now, news);
                if !shifting && rollout.phase() == Phase::Shifting {
                    let fields = rollout_json(rollout, now);
                    self.log_event(now, log_event::ROLLOUT_SHIFTING, fields);
                }
            }
        }
    }

    fn adopt_listing(&mut self, now: Time, listing: Listing, rev: Rev, source: &str) {
        if rev > self.view.revs().rollouts {
            let change = Change {
                absent_departure: Departure::Lapsed,
                full: true,
                items: listing.items,
                rev,
                topic: Topic::Rollouts,
            };
            self.apply_change(now, change, source);
        }
        // A daemon that has just started may be unable to read the store. A later one verifies
        // versions by itself.
        let current = self.view.revs().rollouts <= rev;
        if let Some(book) = &mut self.rollouts
            && self.stage == Stage::Starting
            && current
        {
            for (service, version) in listing.established {
                book.versions.establish(&service, &version);
            }
        }
    }

    pub(crate) fn raise_known(&mut self, now: Time, rev: Rev) {
        let rev = rev.max(self.view.revs().rollouts);
        if let Some(book) = &mut self.rollouts {
            if book.known == Rev::default() && rev > Rev::default() {
                // Others that have just started wait for the list.
                book.changed = Some(now);
            }
            book.known = book.known.max(rev);
        }
    }
}
