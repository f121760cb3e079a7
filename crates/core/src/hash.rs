//! Hash collections with a fast hasher.
//!
//! Keys are small and come from our own tables, so resistance to chosen keys is not needed;
//! anything keyed by caller input uses the standard hasher instead.

/// A hash map with a fast, non-cryptographic hasher.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast, non-cryptographic hasher.
pub type HashSet<K> = rustc_hash::FxHashSet<K>;
