//! Every fault at every step, with real processes.

mod bench;
mod caller;
mod cell;
mod generation;
#[path = "../../examples/support/oracle.rs"]
mod oracle;
mod process;

/// Runs only the cells whose name holds the value.
const FILTER_VARIABLE: &str = "FAULT_MATRIX_CELLS";

fn generation_cells() -> Vec<cell::MatrixCell> {
    let mut cells = Vec::new();
    for fault in generation::FAULTS {
        for step in generation::STEPS {
            cells.push(cell::MatrixCell {
                fault: fault.name(),
                step: step.name().to_owned(),
                run: Box::new(move || {
                    Box::pin(async move { generation::run(&[fault], step).await })
                }),
            });
        }
    }
    cells
}

#[test]
fn every_promise_holds_under_every_fault_at_every_step() {
    let filter = std::env::var(FILTER_VARIABLE).unwrap_or_default();
    let mut cells = generation_cells();
    cells.retain(|cell| format!("{} at {}", cell.fault, cell.step).contains(&filter));
    assert!(!cells.is_empty(), "no cell is named like {filter:?}");
    let reports = cell::run_all(&cells);
    println!("{}", cell::table(&reports, &[]));
    let failures: Vec<String> = reports
        .iter()
        .filter_map(|report| Some(format!("{}: {}", report.name, report.failure()?)))
        .collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
