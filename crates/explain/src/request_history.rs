//! Everything that was logged of one request.

use std::collections::BTreeSet;
use std::fmt::Write;

use crate::LogLine;

/// Every line of a request, in the order of their time, with those that tell what was
/// held against it; empty if there is none.
pub fn request_history(lines: &[LogLine], request: &str) -> String {
    let mut text = String::new();
    let own = |l: &&LogLine| l.request() == Some(request);
    let contents = lines.iter().filter(own).filter_map(|l| l.input("content"));
    let contents: BTreeSet<&str> = contents.filter(|c| !c.is_empty()).collect();
    for line in lines.iter().filter(|l| own(l) || l.is_of_all(&contents)) {
        let (time, source, inputs) = (&line.time, &line.source, line.inputs());
        // Writing into a string cannot fail.
        let _ = writeln!(text, "{time}  {source}  {}  {inputs}", line.text);
    }
    text
}
