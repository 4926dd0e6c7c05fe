//! Hash maps and sets with a fast hasher, and hashes that are the same in every process.

use {
    rustc_hash::FxBuildHasher,
    std::collections::{HashMap, HashSet},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// A hash map with a fast hasher that doesn't resist collision attacks, so it is only for keys that
/// no untrusted party chooses.
pub type Map<K, V> = HashMap<K, V, FxBuildHasher>;

/// A hash set with the same hasher as [`Map`], for keys that no untrusted party chooses.
pub type Set<K> = HashSet<K, FxBuildHasher>;

/// The weight of `node` for `key` in rendezvous (highest random weight) hashing; the same in every
/// process.
pub fn rendezvous_weight(key: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64(key.as_bytes()))
}

/// A digest of a sequence of byte strings; it depends on their order and is the same in every
/// process.
pub fn digest<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    parts
        .into_iter()
        .fold(0, |digest, part| xxh3_64_with_seed(part, digest))
}
