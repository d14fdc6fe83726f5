//! Outcomes as a table.

use std::fmt::Write;

use crate::experiment::Outcome;

/// Outcomes as a table for people, one load and fault after another.
pub fn table(outcomes: &[Outcome]) -> String {
    let mut out = String::new();
    let mut cells: Vec<(String, &Outcome)> = outcomes
        .iter()
        .map(|o| (format!("{:<8} {:.1}", o.disturbance.as_str(), o.load), o))
        .collect();
    cells.sort_by(|(a, x), (b, y)| (a, x.variant).cmp(&(b, y.variant)));
    // Writing to a string cannot fail.
    let _ = writeln!(
        out,
        "{:<13}{:<14}{:>8}{:>9}{:>8}{:>9}{:>9}{:>9}{:>8}{:>8}",
        "fault load",
        "policy",
        "calls",
        "attained",
        "small",
        "refused",
        "p99 ms",
        "cost ms",
        "wasted",
        "prefix"
    );
    for (cell, o) in cells {
        let _ = writeln!(
            out,
            "{:<13}{:<14}{:>8}{:>8.2}%{:>7.1}%{:>8.2}%{:>9.1}{:>9.2}{:>7.2}%{:>7.1}%",
            cell,
            o.variant.as_str(),
            o.calls,
            o.attainment,
            o.small_customer,
            o.refused,
            o.p99_ms,
            o.cost_ms,
            o.wasted,
            o.prefix_hits
        );
    }
    out
}
