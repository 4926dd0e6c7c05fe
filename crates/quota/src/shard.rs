//! The division of accounts into shards.

use {
    std::net::Ipv4Addr,
    unit::{digest, rendezvous_weight},
};

/// The number of shards. A set of shards is a `u8` with one bit for each.
pub const SHARDS: usize = 8;

/// The hash that stands for an account's name in messages. Two accounts with the same hash share a
/// token bucket.
pub fn account_hash(name: &str) -> u32 {
    // Half of the hash is dropped to keep messages small.
    rendezvous_weight("account", name) as u32
}

/// The shard of an account, given by the hash of its name.
pub fn shard_of(account: u32) -> usize {
    account as usize % SHARDS
}

/// The rank of a daemon among the candidates of a shard; the lowest is preferred.
pub(crate) fn candidate_rank(shard: usize, ip: Ipv4Addr) -> (u64, Ipv4Addr) {
    (digest([&[shard as u8][..], &ip.octets()]), ip)
}

/// The rank of a daemon among those that share an account's reserve.
pub(crate) fn reserve_rank(account: u32, ip: Ipv4Addr) -> (u64, Ipv4Addr) {
    (digest([&account.to_be_bytes()[..], &ip.octets()]), ip)
}
