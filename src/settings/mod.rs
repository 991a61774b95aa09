//! Reads and validates the settings of a daemon, which are a JSON file.

mod settings_checks;
mod settings_error;
mod settings_types;

pub(crate) use settings_checks::{checked_address_list, checked_name, checked_number};
pub use {
    settings_error::SettingsError,
    settings_types::{BalanceSettings, CallerLimits, ControlSettings, LeaseSettings, Settings},
};
