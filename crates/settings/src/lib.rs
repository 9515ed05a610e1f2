//! Settings files, and the start-up code, command line and clock that the programs share.

mod clock;
mod command;
mod daemon;
mod duration;
mod error;
mod lease;
mod shared;

pub use clock::ProcessClock;
pub use command::{SettingsCommand, daemon_command, read_daemon_arguments};
pub use daemon::{bind_listener, run_daemon, run_reloading_daemon, stop_signal};
pub use duration::parse_duration;
pub use error::SettingError;
pub use lease::RawLease;
pub use shared::{IdentitySettings, RawLog, check_addresses, parse_field, read_file};
