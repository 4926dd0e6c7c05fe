use {
    rustc_hash::FxBuildHasher,
    std::collections::{HashMap, HashSet},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// A hash map with a fast hasher, for keys that no stranger chooses.
pub type Map<K, V> = HashMap<K, V, FxBuildHasher>;

/// A hash set with a fast hasher, for keys that no stranger chooses.
pub type Set<K> = HashSet<K, FxBuildHasher>;

/// The weight of `node` for `key` under rendezvous hashing; the same in every process.
pub fn rendezvous_weight(key: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64(key.as_bytes()))
}

/// A digest of a sequence of names, in their order; the same in every process.
pub fn digest<'a>(names: impl IntoIterator<Item = &'a str>) -> u64 {
    names
        .into_iter()
        .fold(0, |sum, name| xxh3_64_with_seed(name.as_bytes(), sum))
}
