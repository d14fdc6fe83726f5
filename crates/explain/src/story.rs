//! Everything that was logged of one request.

use std::fmt::Write;

use crate::Line;

/// Every line of a request, in the order of their time; empty if there is none.
pub fn story(lines: &[Line], request: &str) -> String {
    let mut text = String::new();
    let own = lines.iter().filter(|l| l.request() == Some(request));
    for line in own {
        let (time, source, inputs) = (&line.time, &line.source, line.inputs());
        // Writing into a string cannot fail.
        let _ = writeln!(text, "{time}  {source}  {}  {inputs}", line.text);
    }
    text
}
