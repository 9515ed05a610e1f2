//! Tests of the entry at its boundary.

mod connections;
