//! Hash collections with a fast hasher.
//!
//! The hasher does not resist keys that are chosen to collide. Use these collections only for
//! small keys of the project's own tables, such as identifiers of workers. Collections keyed by
//! caller input use the standard hasher.

/// A hash map with a fast, non-cryptographic hasher.
pub type HashMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with a fast, non-cryptographic hasher.
pub type HashSet<K> = rustc_hash::FxHashSet<K>;
