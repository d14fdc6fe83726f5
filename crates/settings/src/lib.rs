//! The settings of the daemons, validated before anything starts.
//!
//! Settings are read from an INI file into [`RawSettings`], which hold text. Validation
//! turns these into [`Settings`] or [`GatewaySettings`] and fails if a key is unknown,
//! missing or out of bounds. An error names the file, the section, the key and the value,
//! and says how to correct it. All keys are listed in [`KEYS`] and [`GATEWAY_KEYS`], against
//! which the operators' pages are tested.

mod gateway_settings;
mod key;
mod raw_settings;
mod settings;
mod settings_error;

pub use gateway_settings::GATEWAY_KEYS;
pub use gateway_settings::GatewaySettings;
pub use key::KEYS;
pub use key::Key;
pub use raw_settings::RawSettings;
pub use settings::CallerSettings;
pub use settings::InstanceSettings;
pub use settings::LogSettings;
pub use settings::Operator;
pub use settings::PlatformSettings;
pub use settings::Settings;
pub use settings::WorkSettings;
pub use settings_error::SettingsError;
