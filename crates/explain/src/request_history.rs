//! The log lines of a single request.

use std::collections::BTreeSet;
use std::fmt::Write;

use crate::LogLine;

/// Every line of the request `request_id`, in the order of `lines`, together with the lines
/// about its content and about what it was held for, such as crash reports and quarantine
/// decisions; empty if there is none.
pub fn request_history(lines: &[LogLine], request_id: &str) -> String {
    let mut text = String::new();
    let own = |l: &&LogLine| l.request_id() == Some(request_id);
    let contents = lines
        .iter()
        .filter(own)
        .flat_map(|l| ["content", "held", "held_part"].map(|name| l.text_value(name)))
        .flatten();
    let contents: BTreeSet<&str> = contents.filter(|c| !c.is_empty()).collect();
    for line in lines
        .iter()
        .filter(|l| own(l) || l.concerns_contents(&contents))
    {
        let (time, source, inputs) = (&line.time, &line.source, line.formatted_values());
        // Writing into a string cannot fail.
        let _ = writeln!(text, "{time}  {source}  {}  {inputs}", line.message);
    }
    text
}
