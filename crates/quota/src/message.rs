use serde::{Deserialize, Serialize};

/// A message about quotas between two daemons. Each fits in one datagram and may be lost, doubled
/// or delayed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A candidate asks for support.
    Solicit {
        /// The shards of which the sender is the grantor.
        held: u8,
        /// The number of the round, drawn at random.
        number: u32,
        /// The shards for which the sender asks for support.
        shards: u8,
    },
    /// The sender supports the receiver for [`crate::LEASE`].
    Support {
        /// The number of the round in which the receiver asked.
        number: u32,
        /// The shards; only those that were asked for.
        shards: u8,
    },
    /// The sender stops being grantor and uses no lease any more that it got in earlier rounds.
    Release {
        /// The numbers of the rounds whose leases have not ended.
        rounds: Vec<u32>,
    },
    /// Requests tokens.
    Request {
        /// The hash of the account's name.
        account: u32,
        /// How many tokens are requested.
        count: u16,
        /// The number of the request among those of its sender. A repeated request has the same
        /// number and gets the same grant.
        number: u16,
    },
    /// Grants tokens. If they are fewer than requested, the receiver may request the others at once.
    Grant {
        /// How many tokens are granted; at least one.
        count: u16,
        /// The number of the request.
        number: u16,
    },
    /// Grants no tokens.
    Deny {
        /// The number of the request.
        number: u16,
        /// For how long the receiver is to request no tokens of the account, in milliseconds.
        pause_ms: u16,
        /// The time after which callers may come back, in milliseconds.
        wait_ms: u16,
    },
    /// The sender isn't the grantor of the account's shard, or doesn't know the account.
    Decline {
        /// The number of the request.
        number: u16,
    },
}
