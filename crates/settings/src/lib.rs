//! A daemon's settings, checked before anything starts.
//!
//! Read from an INI file. What the file says is raw text with a place;
//! [`Settings`] is what is left when every key was known, present where it must
//! be, and within its bounds. An error names file, section, key and value, and
//! says what would be right. All keys are listed in [`KEYS`], which the
//! operators' page is tested against.

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
