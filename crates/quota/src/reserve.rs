use {
    crate::{electorate::Electorate, shard::reserve_rank},
    limit::SlidingWindow,
    std::net::Ipv4Addr,
    unit::{Span, Time},
};

/// The requests of an account that this daemon may admit without tokens, while there is no grantor
/// that it can reach.
#[derive(Clone, Debug)]
pub(crate) struct Reserve {
    account: u32,
    used: SlidingWindow,
}

impl Reserve {
    /// An unused reserve for windows of this length.
    pub(crate) fn new(account: u32, window: Span) -> Self {
        Self {
            account,
            used: SlidingWindow::new(window),
        }
    }

    /// Changes the length of the windows.
    pub(crate) fn set_window(&mut self, window: Span) {
        self.used.set_span(window);
    }

    /// Takes one request from the own share of the `total` of all registered daemons. The total is
    /// divided evenly, in whole requests; the remainder goes to the lowest ranks.
    pub(crate) fn take(
        &mut self,
        now: Time,
        total: usize,
        own: Ipv4Addr,
        electorate: &Electorate,
    ) -> bool {
        if !electorate.contains(own) {
            return false;
        }
        let count = electorate.len();
        let rank = |ip| reserve_rank(self.account, ip);
        let before = |ip: &Ipv4Addr| rank(*ip) < rank(own);
        let others = electorate.voters().iter().map(|voter| voter.ip);
        let position = others.filter(before).count();
        let share = total / count + usize::from(position < total % count);
        if self.used.count(now) >= share {
            return false;
        }
        self.used.add(now);
        true
    }
}
