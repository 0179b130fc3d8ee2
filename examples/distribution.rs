//! Measures the distribution of the view and prints a table, or JSON with `--json`.
//!
//! Other arguments are the numbers of rows and subscribers: `1000,20000 1,10,100,400`.

use lilacspindle::bench::distribution::{Options, run};

fn numbers<T: std::str::FromStr>(text: &str) -> Vec<T> {
    text.split(',')
        .filter_map(|number| number.parse().ok())
        .collect()
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let (flags, lists): (Vec<_>, Vec<_>) = std::env::args()
        .skip(1)
        .partition(|argument| argument.starts_with("--"));
    let mut options = Options::default();
    if let [rows, subscribers] = &lists[..] {
        options.rows = numbers(rows);
        options.subscribers = numbers(subscribers);
    }
    let report = run(&options).await?;
    match flags.iter().any(|flag| flag == "--json") {
        true => println!("{}", report.to_json()),
        false => print!("{}", report.to_table()),
    }
    Ok(())
}
