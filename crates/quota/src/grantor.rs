use {
    crate::{
        Allowance, Message,
        allowance::VALIDITY,
        bucket::{Bucket, Outcome, TokenRequest},
    },
    std::net::Ipv4Addr,
    unit::{Map, Set, Span, Time},
};

/// What became of a request, kept so that a repeated one gets the same.
#[derive(Clone, Debug)]
struct RecentRequest {
    at: Time,
    /// `None` while it is queued.
    reply: Option<Message>,
}

/// What a grantor knows of one shard. It lasts for one tenure: the time for which the daemon holds
/// its leases without a gap.
#[derive(Clone, Debug)]
pub struct Grantor {
    buckets: Map<u32, Bucket>,
    /// The accounts for whose tokens requests are queued.
    queued: Set<u32>,
    /// The requests that may be repeated, by daemon and number.
    recent: Map<(Ipv4Addr, u16), RecentRequest>,
    since: Time,
}

impl Grantor {
    /// The state at the start of a tenure: all buckets are empty.
    pub fn new(now: Time) -> Self {
        Self {
            buckets: Map::default(),
            queued: Set::default(),
            recent: Map::default(),
            since: now,
        }
    }

    /// Handles a request of a daemon for `count` tokens. Returns the reply; `None` if the request is
    /// queued.
    pub fn request(
        &mut self,
        now: Time,
        from: Ipv4Addr,
        (account, number): (u32, u16),
        count: u16,
        allowance: &Allowance,
    ) -> Option<Message> {
        if let Some(recent) = self.recent.get(&(from, number)) {
            return recent.reply.clone();
        }
        let request = TokenRequest {
            count,
            from,
            number,
        };
        let outcome = self.bucket(account).request(now, request, allowance);
        let reply = match outcome {
            Outcome::Denied { pause, wait } => Some(Message::Deny {
                number,
                pause_ms: millis(pause),
                wait_ms: millis(wait),
            }),
            Outcome::Granted(count) => Some(Message::Grant { count, number }),
            Outcome::Queued => {
                self.queued.insert(account);
                None
            }
        };
        let recent = RecentRequest {
            at: now,
            reply: reply.clone(),
        };
        self.recent.insert((from, number), recent);
        reply
    }

    /// Serves the queued requests for which there are tokens. Returns the replies and to whom they
    /// go. `allowance` returns that of an account, or `None` if the account is gone.
    pub fn serve(
        &mut self,
        now: Time,
        allowance: impl Fn(u32) -> Option<Allowance>,
    ) -> Vec<(Ipv4Addr, Message)> {
        let mut replies = Vec::new();
        for account in self.queued.clone() {
            let bucket = self.buckets.get_mut(&account);
            let (Some(bucket), Some(allowance)) = (bucket, allowance(account)) else {
                self.queued.remove(&account);
                continue;
            };
            while let Some((request, count)) = bucket.serve(now, &allowance) {
                let number = request.number;
                let reply = Message::Grant { count, number };
                if let Some(recent) = self.recent.get_mut(&(request.from, number)) {
                    recent.reply = Some(reply.clone());
                }
                replies.push((request.from, reply));
            }
            if bucket.next_due(&allowance).is_none() {
                self.queued.remove(&account);
            }
        }
        replies
    }

    /// When [`Self::serve`] is next to be called; `None` if nothing is queued.
    pub fn next_due(&self, allowance: impl Fn(u32) -> Option<Allowance>) -> Option<Time> {
        let due = |account: &u32| self.buckets.get(account)?.next_due(&allowance(*account)?);
        self.queued.iter().filter_map(due).min()
    }

    /// The tokens that an account has.
    pub fn tokens(&mut self, now: Time, account: u32, allowance: &Allowance) -> f64 {
        self.bucket(account).tokens(now, allowance)
    }

    /// Forgets the requests that aren't repeated any more. A number may be used again after that.
    pub(crate) fn prune(&mut self, now: Time) {
        self.recent
            .retain(|_, recent| now.since(recent.at) < VALIDITY * 2);
    }

    fn bucket(&mut self, account: u32) -> &mut Bucket {
        let since = self.since;
        self.buckets
            .entry(account)
            .or_insert_with(|| Bucket::new(since))
    }
}

/// A span in whole milliseconds, rounded up.
fn millis(span: Span) -> u16 {
    let millis = span.as_micros().div_ceil(1_000);
    u16::try_from(millis).unwrap_or(u16::MAX)
}
