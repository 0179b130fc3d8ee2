//! Rows of the capacity tables, with the arithmetic behind each value.

use std::fmt::Write;

use super::slopes::Slopes;

/// A measured slope multiplied by an amount.
#[derive(Debug, Clone)]
pub(super) struct Term {
    slope: &'static str,
    amount: f64,
    /// The amount as shown in the arithmetic column, with its unit and derivation.
    amount_label: String,
    /// Whether the value of the fitted line at zero is added.
    include_intercept: bool,
}

/// Returns the cost of `amount` without the fixed cost, the intercept of the slope.
pub(super) fn variable_cost(slope: &'static str, amount: f64, amount_label: &str) -> Term {
    Term {
        slope,
        amount,
        amount_label: amount_label.to_owned(),
        include_intercept: false,
    }
}

/// Returns the cost of `amount` with the fixed cost, the intercept of the slope.
pub(super) fn total_cost(slope: &'static str, amount: f64, amount_label: &str) -> Term {
    Term {
        include_intercept: true,
        ..variable_cost(slope, amount, amount_label)
    }
}

/// Unit of a row's value, which determines its format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Unit {
    /// CPU time, computed from slopes in microseconds per second and shown as percent of a core.
    Core,
    Bytes,
    BytesPerSecond,
    PerSecond,
}

/// One row of a table: a cost as the sum of its terms.
#[derive(Debug, Clone)]
pub(super) struct CostRow {
    pub(super) label: &'static str,
    pub(super) unit: Unit,
    pub(super) terms: Vec<Term>,
    pub(super) limit: Option<f64>,
}

impl CostRow {
    pub(super) fn new(label: &'static str, unit: Unit, terms: Vec<Term>) -> Self {
        Self {
            label,
            unit,
            terms,
            limit: None,
        }
    }

    /// Sets an upper limit, in the unit of the value.
    pub(super) fn limit(mut self, limit: f64) -> Self {
        self.limit = Some(limit);
        self
    }

    /// Returns the value, or `None` if a slope has not been measured.
    pub(super) fn value(&self, slopes: &Slopes) -> Option<f64> {
        let mut sum = 0.0;
        for term in &self.terms {
            let fit = slopes.linear_fit(term.slope)?;
            let intercept = if term.include_intercept {
                fit.intercept
            } else {
                0.0
            };
            sum += intercept + fit.slope * term.amount;
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
            .map(|term| match slopes.linear_fit(term.slope) {
                Some(fit) if term.include_intercept => format!(
                    "{} + {} × {}",
                    format_number(fit.intercept),
                    format_number(fit.slope),
                    term.amount_label
                ),
                Some(fit) => format!("{} × {}", format_number(fit.slope), term.amount_label),
                None => format!("{} (not measured) × {}", term.slope, term.amount_label),
            })
            .collect();
        terms.join(" + ")
    }

    /// Returns the limit with the result of the comparison, or an empty text without a limit.
    fn limit_cell(&self, slopes: &Slopes) -> String {
        match (self.limit, self.value(slopes)) {
            (Some(limit), Some(value)) if value <= limit => {
                format!("{}, kept", format_value(self.unit, limit))
            }
            (Some(limit), Some(_)) => format!("{}, **exceeded**", format_value(self.unit, limit)),
            (Some(limit), None) => format_value(self.unit, limit),
            (None, _) => String::new(),
        }
    }
}

/// Appends a Markdown table with the given heading.
pub(super) fn write_table(text: &mut String, title: &str, rows: &[CostRow], slopes: &Slopes) {
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "\n### {title}\n");
    let _ = writeln!(
        text,
        "| what | value | arithmetic | limit |\n|---|---|---|---|"
    );
    for row in rows {
        let value = row.value(slopes).map_or_else(
            || "not measured".to_owned(),
            |value| format_value(row.unit, value),
        );
        let _ = writeln!(
            text,
            "| {} | {value} | {} | {} |",
            row.label,
            row.arithmetic(slopes),
            row.limit_cell(slopes)
        );
    }
}

fn format_value(unit: Unit, value: f64) -> String {
    match unit {
        Unit::Core => format!("{:.2} % of a core", value * 100.0),
        Unit::Bytes => format_bytes(value),
        Unit::BytesPerSecond => format!("{}/s", format_bytes(value)),
        Unit::PerSecond => format!("{}/s", format_number(value)),
    }
}

/// Returns a size in B, KB, MB or GB, as powers of 1,000.
pub(super) fn format_bytes(value: f64) -> String {
    match value {
        _ if value >= 1e9 => format!("{:.2} GB", value / 1e9),
        _ if value >= 1e6 => format!("{:.2} MB", value / 1e6),
        _ if value >= 1e3 => format!("{:.2} KB", value / 1e3),
        _ => format!("{value:.0} B"),
    }
}

/// Returns a number with thousands separators and at most three decimals. From 1,000 upwards the
/// decimals are cut off.
pub(super) fn format_number(value: f64) -> String {
    let text = format!("{value:.3}");
    let (whole, decimals) = text.split_once('.').unwrap_or((&text, ""));
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
    let decimals = decimals.trim_end_matches('0');
    if !decimals.is_empty() && digits.len() < 4 {
        grouped.push('.');
        grouped.push_str(decimals);
    }
    grouped
}
