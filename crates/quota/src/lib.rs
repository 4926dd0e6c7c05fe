//! The quotas of client accounts: how many requests an account may send, over all daemons together.
//!
//! The accounts are divided into shards. Each shard has at most one *grantor* at any time, a daemon
//! that holds leases from more than half of the registered daemons. It has a token bucket for each
//! account, from which the other daemons request tokens. [`Quota`] is the part of one daemon.

mod allowance;
mod bucket;
mod decision;
mod demand;
mod electorate;
mod grantor;
mod lease;
mod local_account;
mod message;
mod quota;
mod reserve;
mod rounds;
mod shard;
mod tenure;
mod token_requests;
mod tokens;
mod waits;

pub use {
    allowance::{Allowance, VALIDITY},
    decision::{Admission, QuotaAction, QuotaEvent, RequestId, Usage},
    electorate::Voter,
    grantor::Grantor,
    lease::{LEASE, Lease},
    message::Message,
    quota::Quota,
    shard::{SHARDS, account_hash, shard_of},
};
