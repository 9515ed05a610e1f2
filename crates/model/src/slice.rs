//! Key hashes and slices of the hash space, which servers own.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ServiceName;

/// Stable 64-bit hash of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash(pub u64);

/// Hashes a key with XXH3 (64 bits), the same way in all versions: stored maps refer to these hashes.
pub fn hash_key(key: &str) -> KeyHash {
    KeyHash(xxh3_64(key.as_bytes()))
}

/// A range of key hashes that share their `bits` highest bits.
///
/// With 64 bits the slice holds a single hash. Slices may nest; a hash belongs to the slice with the
/// most bits that contains it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SliceId {
    prefix: u64,
    bits: u8,
}

impl SliceId {
    /// The slice that contains `hash` in a hash space divided by its `bits` highest bits.
    pub fn covering(hash: KeyHash, bits: u8) -> Self {
        let bits = bits.min(64);
        let prefix = match bits {
            0 => 0,
            _ => hash.0 >> (64 - bits) << (64 - bits),
        };
        Self { prefix, bits }
    }

    /// The slice that contains only `hash`.
    pub fn single(hash: KeyHash) -> Self {
        Self { prefix: hash.0, bits: 64 }
    }

    /// All slices of a hash space divided by its `bits` highest bits, in order.
    pub fn all(bits: u8) -> impl Iterator<Item = Self> {
        (0..1u64 << bits).map(move |idx| {
            let prefix = if bits == 0 { 0 } else { idx << (64 - bits) };
            Self { prefix, bits }
        })
    }

    /// Whether the slice contains `hash`.
    pub fn contains(self, hash: KeyHash) -> bool {
        Self::covering(hash, self.bits) == self
    }

    /// Number of leading bits that all hashes of the slice share.
    pub fn bits(self) -> u8 {
        self.bits
    }

    /// The lowest hash of the slice.
    pub fn start(self) -> KeyHash {
        KeyHash(self.prefix)
    }
}

impl fmt::Display for SliceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}/{}", self.prefix, self.bits)
    }
}

impl fmt::Debug for SliceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A slice of one service.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SliceKey {
    /// Service that the slice belongs to.
    pub service: ServiceName,
    /// Slice of the service's hash space.
    pub slice: SliceId,
}

impl fmt::Display for SliceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.service, self.slice)
    }
}

impl fmt::Debug for SliceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl std::str::FromStr for SliceId {
    type Err = crate::InvalidValue;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || crate::InvalidValue::new("slice", text, "PREFIX/BITS with a hex prefix");
        let (prefix, bits) = text.split_once('/').ok_or_else(invalid)?;
        let prefix = u64::from_str_radix(prefix, 16).map_err(|_| invalid())?;
        let bits = bits.parse::<u8>().map_err(|_| invalid())?;
        let slice = Self::covering(KeyHash(prefix), bits);
        match slice.prefix == prefix && bits <= 64 {
            true => Ok(slice),
            false => Err(invalid()),
        }
    }
}
