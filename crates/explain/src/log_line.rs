//! A single log line.

use std::collections::BTreeSet;

use compact_str::CompactString;
use compact_str::ToCompactString;
use compact_str::format_compact;
use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

/// A log line as it is written in a file.
#[derive(Debug, Deserialize)]
struct RawLine {
    timestamp: CompactString,
    text: CompactString,
    #[serde(default)]
    kv: Map<String, Value>,
}

/// A log line: a message with its key-value pairs.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// When the line was written, by the wall clock of the instance.
    pub time: CompactString,
    /// The name of the file that the line was read from.
    pub source: CompactString,
    /// The message.
    pub message: CompactString,
    values: Map<String, Value>,
}

impl LogLine {
    /// Parses a line of the file `source`. Text before the first brace is skipped, since
    /// log collectors put prefixes before lines.
    pub(crate) fn parse(source: &str, text: &str) -> Result<LogLine, CompactString> {
        let Some(start) = text.find('{') else {
            return Err("it holds no JSON object".into());
        };
        let raw: RawLine =
            serde_json::from_str(&text[start..]).map_err(|e| format_compact!("{e}"))?;
        Ok(LogLine {
            time: raw.timestamp,
            source: source.into(),
            message: raw.text,
            values: raw.kv,
        })
    }

    /// The time at which the line was written, to the second.
    pub fn second(&self) -> &str {
        self.time.split('.').next().unwrap_or(&self.time)
    }

    /// The ID of the request that the line is about; none for other lines.
    pub fn request_id(&self) -> Option<&str> {
        self.text_value("request").filter(|id| !id.is_empty())
    }

    /// True if the line is about one of the `contents` as such and not about a single
    /// request.
    pub(crate) fn concerns_contents(&self, contents: &BTreeSet<&str>) -> bool {
        let one = self.text_value("content").into_iter();
        let several = ["contents", "parts"].map(|name| self.text_value(name).unwrap_or(""));
        let several = several.into_iter().flat_map(|text| text.split(' '));
        let mut named = one.chain(several);
        self.request_id().is_none() && named.any(|c| contents.contains(c))
    }

    /// The string under the key `name`; none if there is no such string.
    pub fn text_value(&self, name: &str) -> Option<&str> {
        self.values.get(name)?.as_str()
    }

    /// The non-negative integer under the key `name`; none if there is no such integer.
    pub fn integer_value(&self, name: &str) -> Option<u64> {
        self.values.get(name)?.as_u64()
    }

    /// All key-value pairs as `name=value`, separated by spaces.
    pub fn formatted_values(&self) -> CompactString {
        let all = self.values.iter();
        let all: Vec<String> = all.map(|(name, value)| format!("{name}={value}")).collect();
        all.join(" ").to_compact_string()
    }
}
