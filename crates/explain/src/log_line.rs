//! One log line.

use std::collections::BTreeSet;

use compact_str::CompactString;
use compact_str::ToCompactString;
use compact_str::format_compact;
use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

/// A log line as it stands in a file.
#[derive(Debug, Deserialize)]
struct RawLine {
    timestamp: CompactString,
    text: CompactString,
    #[serde(default)]
    kv: Map<String, Value>,
}

/// A log line: a decision, its inputs and its outcome.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// When it was written, by the instance's own time of day.
    pub time: CompactString,
    /// Where it was read.
    pub source: CompactString,
    /// What was decided.
    pub text: CompactString,
    inputs: Map<String, Value>,
}

impl LogLine {
    /// Reads a line of `source`. What stands before the first brace is left out, so
    /// that a prefix of a log collector does no harm.
    pub(crate) fn read(source: &str, text: &str) -> Result<LogLine, CompactString> {
        let Some(start) = text.find('{') else {
            return Err("it holds no JSON object".into());
        };
        let raw: RawLine =
            serde_json::from_str(&text[start..]).map_err(|e| format_compact!("{e}"))?;
        Ok(LogLine {
            time: raw.timestamp,
            source: source.into(),
            text: raw.text,
            inputs: raw.kv,
        })
    }

    /// The second that it was written in.
    pub fn second(&self) -> &str {
        self.time.split('.').next().unwrap_or(&self.time)
    }

    /// The identity of the request that it is about; none for other lines.
    pub fn request(&self) -> Option<&str> {
        self.input("request").filter(|id| !id.is_empty())
    }

    /// True if it is about what these requests are, and not about one attempt at them.
    pub(crate) fn is_of_all(&self, contents: &BTreeSet<&str>) -> bool {
        let one = self.input("content").into_iter();
        let several = self.input("contents").unwrap_or("").split(' ');
        let mut named = one.chain(several);
        self.request().is_none() && named.any(|c| contents.contains(c))
    }

    /// An input that is text; none if there is no such input.
    pub fn input(&self, name: &str) -> Option<&str> {
        self.inputs.get(name)?.as_str()
    }

    /// An input that is a number; none if there is no such input.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.inputs.get(name)?.as_u64()
    }

    /// All inputs, as text.
    pub fn inputs(&self) -> CompactString {
        let all = self.inputs.iter();
        let all: Vec<String> = all.map(|(name, value)| format!("{name}={value}")).collect();
        all.join(" ").to_compact_string()
    }
}
