//! witness
