//! What daemons tell each other of workers: the limits that workers name, and their crashes.

use {
    crate::{NoticeChange, crashes::WorkerCrash, dispatcher::Dispatcher},
    pick::{LimitNews, NoticeSource},
    poison::{CrashLog, CrashNews},
    site::Notice,
    unit::Time,
};

impl Dispatcher {
    /// Records what a worker asks in a response that a helper got. A delay speaks of the helper.
    pub(crate) fn notice_passed_on(&mut self, now: Time, run: u32, notice: Notice) {
        let notice = Notice {
            retry_after: None,
            ..notice
        };
        if let Some(worker) = self.table.key_of_run(run) {
            self.record_notice(now, worker, NoticeSource::Response, notice);
        }
    }

    /// Adopts what another daemon was told of a worker's limit.
    pub fn adopt_limit(&mut self, now: Time, news: LimitNews) {
        if let Some(worker) = self.table.adopt_limit(now, news) {
            self.notice_changes.push(NoticeChange {
                source: NoticeSource::Peer,
                unreadable: false,
                worker,
            });
        }
    }

    /// What to tell other daemons of the limits that workers name; at most `max` workers.
    pub fn limit_news(&mut self, now: Time, max: usize) -> Vec<LimitNews> {
        self.table.limit_news(now, max, &mut self.rng)
    }

    /// Adopts what another daemon told of a request that crashes workers.
    pub fn adopt_crash(&mut self, now: Time, news: CrashNews) {
        let barred = self.crash_log.adopt(now, news);
        self.record_crash_news(news, barred);
    }

    /// What is known of requests that crash workers.
    pub fn crash_log(&self) -> &CrashLog {
        &self.crash_log
    }

    /// What to tell other daemons of requests that crash workers, at most `max` pieces of news.
    /// Forgets what no longer counts.
    pub fn crash_news(&mut self, now: Time, max: usize) -> Vec<CrashNews> {
        self.crash_log.prune(now);
        self.crash_log.news(now, max)
    }

    /// Takes the crashes that became known since the last call, for the log.
    pub fn take_crashes(&mut self) -> Vec<WorkerCrash> {
        std::mem::take(&mut self.new_crashes)
    }
}
