//! handover
