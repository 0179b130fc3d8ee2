//! Rows of capacity tables with their arithmetic.

use std::fmt::Write;

use super::slopes::Slopes;

/// A product of a measured slope and an amount.
#[derive(Debug, Clone)]
pub(super) struct Term {
    slope: &'static str,
    amount: f64,
    /// How the amount comes about.
    amount_text: String,
    with_base: bool,
}

/// Returns a cost that grows with `amount`, without its value at zero.
pub(super) fn grow(slope: &'static str, amount: f64, amount_text: &str) -> Term {
    Term {
        slope,
        amount,
        amount_text: amount_text.to_owned(),
        with_base: false,
    }
}

/// Returns a cost that grows with `amount`, with its value at zero.
pub(super) fn with_base(slope: &'static str, amount: f64, amount_text: &str) -> Term {
    Term {
        with_base: true,
        ..grow(slope, amount, amount_text)
    }
}

/// How a value is shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Unit {
    /// Microseconds of CPU per second, shown as part of a core.
    Core,
    Bytes,
    BytesPerS,
    PerS,
}

/// One line of a table.
#[derive(Debug, Clone)]
pub(super) struct Line {
    pub(super) what: &'static str,
    pub(super) unit: Unit,
    pub(super) terms: Vec<Term>,
    pub(super) limit: Option<f64>,
}

impl Line {
    pub(super) fn new(what: &'static str, unit: Unit, terms: Vec<Term>) -> Self {
        Self {
            what,
            unit,
            terms,
            limit: None,
        }
    }

    pub(super) fn limit(mut self, limit: f64) -> Self {
        self.limit = Some(limit);
        self
    }

    /// Returns the value; none if a slope is not measured.
    pub(super) fn value(&self, slopes: &Slopes) -> Option<f64> {
        let mut sum = 0.0;
        for term in &self.terms {
            let line = slopes.line(term.slope)?;
            let base = if term.with_base { line.base } else { 0.0 };
            sum += base + line.per_x * term.amount;
        }
        Some(match self.unit {
            Unit::Core => sum / 1e6,
            _ => sum,
        })
    }

    fn arithmetic(&self, slopes: &Slopes) -> String {
        let terms: Vec<String> = self
            .terms
            .iter()
            .map(|term| match slopes.line(term.slope) {
                Some(line) if term.with_base => format!(
                    "{} + {} × {}",
                    number(line.base),
                    number(line.per_x),
                    term.amount_text
                ),
                Some(line) => format!("{} × {}", number(line.per_x), term.amount_text),
                None => format!("{} (not measured) × {}", term.slope, term.amount_text),
            })
            .collect();
        terms.join(" + ")
    }

    fn verdict(&self, slopes: &Slopes) -> String {
        match (self.limit, self.value(slopes)) {
            (Some(limit), Some(value)) if value <= limit => {
                format!("{}, kept", show(self.unit, limit))
            }
            (Some(limit), Some(_)) => format!("{}, **exceeded**", show(self.unit, limit)),
            (Some(limit), None) => show(self.unit, limit),
            (None, _) => String::new(),
        }
    }
}

/// Appends a table in Markdown.
pub(super) fn write_table(text: &mut String, title: &str, lines: &[Line], slopes: &Slopes) {
    // Writing to a string does not fail.
    let _ = writeln!(text, "\n### {title}\n");
    let _ = writeln!(
        text,
        "| what | value | arithmetic | limit |\n|---|---|---|---|"
    );
    for line in lines {
        let value = line
            .value(slopes)
            .map_or_else(|| "not measured".to_owned(), |value| show(line.unit, value));
        let _ = writeln!(
            text,
            "| {} | {value} | {} | {} |",
            line.what,
            line.arithmetic(slopes),
            line.verdict(slopes)
        );
    }
}

fn show(unit: Unit, value: f64) -> String {
    match unit {
        Unit::Core => format!("{:.2} % of a core", value * 100.0),
        Unit::Bytes => bytes(value),
        Unit::BytesPerS => format!("{}/s", bytes(value)),
        Unit::PerS => format!("{}/s", number(value)),
    }
}

/// Returns a size with a unit of powers of ten.
pub(super) fn bytes(value: f64) -> String {
    match value {
        _ if value >= 1e9 => format!("{:.2} GB", value / 1e9),
        _ if value >= 1e6 => format!("{:.2} MB", value / 1e6),
        _ if value >= 1e3 => format!("{:.2} KB", value / 1e3),
        _ => format!("{value:.0} B"),
    }
}

/// Returns a number with separators between thousands and at most three digits after the point.
pub(super) fn number(value: f64) -> String {
    let text = format!("{value:.3}");
    let (whole, part) = text.split_once('.').unwrap_or((&text, ""));
    let (sign, digits) = match whole.strip_prefix('-') {
        Some(digits) => ("-", digits),
        None => ("", whole),
    };
    let mut grouped = String::from(sign);
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    let part = part.trim_end_matches('0');
    if !part.is_empty() && digits.len() < 4 {
        grouped.push('.');
        grouped.push_str(part);
    }
    grouped
}
