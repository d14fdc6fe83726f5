//! The answer to an operator's line.

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// The answer to an operator's line: a message, a table, or both.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryReply {
    /// False if the line was refused.
    pub ok: bool,
    /// What to tell the operator; may be empty.
    pub message: String,
    /// The table's head; empty if there is no table.
    pub columns: Vec<CompactString>,
    /// The table's rows, each with a cell for each column.
    pub rows: Vec<Vec<CompactString>>,
}

impl QueryReply {
    /// A message alone.
    pub(crate) fn say(ok: bool, message: impl Into<String>) -> QueryReply {
        QueryReply {
            ok,
            message: message.into(),
            ..QueryReply::default()
        }
    }

    /// An empty table.
    pub(crate) fn table(columns: &[&str]) -> QueryReply {
        let columns = columns.iter().map(|c| CompactString::from(*c)).collect();
        QueryReply {
            ok: true,
            columns,
            ..QueryReply::default()
        }
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, cells: impl IntoIterator<Item = CompactString>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// The reply as text for a terminal, columns lined up.
    pub fn to_text(&self) -> String {
        let mut out = String::new();
        let all = || std::iter::once(&self.columns).chain(&self.rows);
        let width = |i: usize| {
            all()
                .filter_map(|r| r.get(i))
                .map(|c| c.chars().count())
                .max()
        };
        for row in all().filter(|r| !r.is_empty()) {
            for (i, cell) in row.iter().enumerate() {
                let pad = width(i).unwrap_or(0) + 2;
                out.push_str(&format!("{cell:<pad$}"));
            }
            out.truncate(out.trim_end().len());
            out.push('\n');
        }
        if !self.message.is_empty() {
            out.push_str(&self.message);
            out.push('\n');
        }
        out
    }
}
