//! Tests of the entry at its boundary.

mod beliefs;
mod connections;
mod relays;
