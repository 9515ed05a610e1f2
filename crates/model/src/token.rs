//! Terms, map versions, sheet revisions and fencing tokens, which only grow, and incarnations.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! counter_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The next larger value.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

counter_type!(
    /// Term of a failure domain's planner; at most one planner acts in each term.
    Term
);
counter_type!(
    /// Version of a failure domain's ownership map; grows across terms.
    MapVersion
);
counter_type!(
    /// Revision of the sheet, as numbered by the platform's store.
    SheetRevision
);
counter_type!(
    /// Random identifier of one run of a VM's process; a restarted process has another one.
    Incarnation
);

/// Fencing token of a grant; later grants of the same slice have larger tokens.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct FencingToken {
    /// Epoch of the slice's home domain; it grows each time the home changes.
    pub epoch: u64,
    /// Term in which the slice was assigned.
    pub term: Term,
    /// Map version in which the slice was assigned.
    pub version: MapVersion,
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.epoch, self.term, self.version)
    }
}

impl std::str::FromStr for FencingToken {
    type Err = crate::InvalidValue;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || crate::InvalidValue::new("fencing token", text, "EPOCH.TERM.VERSION");
        let mut parts = text.split('.').map(|it| it.parse::<u64>().map_err(|_| invalid()));
        let mut next = || parts.next().unwrap_or_else(|| Err(invalid()));
        let (epoch, term, version) = (next()?, next()?, next()?);
        match parts.next() {
            None => Ok(Self { epoch, term: Term(term), version: MapVersion(version) }),
            Some(_) => Err(invalid()),
        }
    }
}
