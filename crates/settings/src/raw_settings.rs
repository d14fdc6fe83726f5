//! Settings as the text of a file, before their values are validated.

use std::path::Path;

use compact_str::CompactString;
use compact_str::ToCompactString;
use ini::Ini;
use snafu::ensure;

use crate::KEYS;
use crate::Key;
use crate::SettingsError;
use crate::settings_error::RepeatedSnafu;
use crate::settings_error::UnknownSnafu;

/// The contents of a settings file. Each key is known and occurs only once, but the values
/// have not been validated.
#[derive(Debug)]
pub struct RawSettings {
    file: CompactString,
    keys: &'static [Key],
    ini: Ini,
}

impl RawSettings {
    /// Reads the settings file of an entry instance.
    pub fn read(path: &Path) -> Result<RawSettings, SettingsError> {
        RawSettings::read_keys(path, KEYS)
    }

    /// Reads a settings file that may contain `keys`.
    pub(crate) fn read_keys(
        path: &Path,
        keys: &'static [Key],
    ) -> Result<RawSettings, SettingsError> {
        let file = path.display().to_compact_string();
        match std::fs::read_to_string(path) {
            Ok(text) => RawSettings::parse_keys(&file, &text, keys),
            Err(e) => Err(SettingsError::Unreadable {
                file,
                reason: e.to_compact_string(),
            }),
        }
    }

    /// Parses the `text` of the settings file of an entry instance. The name `file` is used in
    /// errors.
    pub fn parse(file: &str, text: &str) -> Result<RawSettings, SettingsError> {
        RawSettings::parse_keys(file, text, KEYS)
    }

    /// Parses the `text` of a settings file that may contain `keys`. The name `file` is used in
    /// errors.
    pub(crate) fn parse_keys(
        file: &str,
        text: &str,
        keys: &'static [Key],
    ) -> Result<RawSettings, SettingsError> {
        let file = CompactString::from(file);
        let ini = match Ini::load_from_str(text) {
            Ok(ini) => ini,
            Err(e) => {
                return Err(SettingsError::NotIni {
                    file,
                    reason: e.to_compact_string(),
                });
            }
        };
        let raw = RawSettings { file, keys, ini };
        raw.check_keys()?;
        Ok(raw)
    }

    /// The name of the file, for errors.
    pub(crate) fn file(&self) -> &CompactString {
        &self.file
    }

    /// The text of a key; none if the file does not contain the key.
    pub(crate) fn text(&self, section: &str, key: &str) -> Option<&str> {
        self.ini.section(Some(section)).and_then(|s| s.get(key))
    }

    /// All key-value pairs of a section.
    pub(crate) fn pairs(&self, section: &str) -> impl Iterator<Item = (&str, &str)> {
        self.ini
            .section(Some(section))
            .into_iter()
            .flat_map(|s| s.iter())
    }

    /// The value of a key, read by `parse` from the text in the file or from the default.
    pub(crate) fn value<T>(
        &self,
        section: &'static str,
        key: &'static str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Result<T, SettingsError> {
        let definition = self
            .keys
            .iter()
            .find(|k| k.section == section && k.key == key);
        let (unit, bounds, default) =
            definition.map_or(("", "", None), |k| (k.unit, k.bounds, k.default));
        let file = self.file.clone();
        match self.text(section, key).or(default) {
            None => Err(SettingsError::Missing {
                file,
                section,
                key,
                unit,
                bounds,
            }),
            Some(text) => parse(text).ok_or_else(|| {
                let (key, value) = (CompactString::from(key), CompactString::from(text));
                SettingsError::Invalid {
                    file,
                    section,
                    key,
                    value,
                    unit,
                    bounds,
                }
            }),
        }
    }

    fn check_keys(&self) -> Result<(), SettingsError> {
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("");
            for (key, _) in properties.iter() {
                let known = self
                    .keys
                    .iter()
                    .any(|k| k.section == section && matches_key(k, key));
                let location = || {
                    (
                        self.file.clone(),
                        CompactString::from(section),
                        CompactString::from(key),
                    )
                };
                let (file, section_text, key_text) = location();
                let remedy = remedy_for(self.keys, section);
                ensure!(
                    known,
                    UnknownSnafu {
                        file,
                        section: section_text,
                        key: key_text,
                        remedy
                    }
                );
                let (file, section_text, key_text) = location();
                let once = properties.get_all(key).count() == 1
                    && self.ini.section_all(Some(section)).count() <= 1;
                ensure!(
                    once,
                    RepeatedSnafu {
                        file,
                        section: section_text,
                        key: key_text
                    }
                );
            }
        }
        Ok(())
    }
}

fn matches_key(definition: &Key, key: &str) -> bool {
    definition.key == "*" || definition.key == key
}

fn remedy_for(all: &[Key], section: &str) -> CompactString {
    let keys: Vec<&str> = all
        .iter()
        .filter(|k| k.section == section)
        .map(|k| k.key)
        .collect();
    match keys.as_slice() {
        [] => {
            let mut sections: Vec<&str> = all.iter().map(|k| k.section).collect();
            sections.dedup();
            compact_str::format_compact!("sections are {}", sections.join(", "))
        }
        keys => compact_str::format_compact!("keys of [{section}] are {}", keys.join(", ")),
    }
}
