//! Every fault at every step, with real processes.

mod bench;
mod call;
mod caller;
mod cell;
mod declarations;
mod fault;
mod generation;
mod lease;
mod leaving;
mod operator;
#[path = "../../examples/support/oracle.rs"]
mod oracle;
mod process;
mod refusal;

/// Runs only the cells whose name holds the value.
const FILTER_VARIABLE: &str = "FAULT_MATRIX_CELLS";

fn generation_cells() -> Vec<cell::MatrixCell> {
    let mut cells = Vec::new();
    for fault in fault::COMMON {
        for step in generation::STEPS {
            cells.push(cell::MatrixCell {
                fault: format!("generation: {}", fault.name()),
                step: step.name().to_owned(),
                run: Box::new(move || {
                    Box::pin(async move { generation::run(&[fault], step).await })
                }),
            });
        }
    }
    cells
}

fn call_cells() -> Vec<cell::MatrixCell> {
    let mut rows: Vec<_> = fault::COMMON
        .iter()
        .map(|&fault| ("call", fault, call::KeyKind::Home))
        .collect();
    rows.push((
        "call",
        fault::SystemFault::ServiceAnswerLost,
        call::KeyKind::Home,
    ));
    for fault in fault::TABLE {
        rows.push(("call with own key", fault, call::KeyKind::Own));
    }
    let mut cells = Vec::new();
    for (row, fault, kind) in rows {
        for step in call::STEPS {
            cells.push(cell::MatrixCell {
                fault: format!("{row}: {}", fault.name()),
                step: step.name().to_owned(),
                run: Box::new(move || Box::pin(call::run(fault, step, kind))),
            });
        }
    }
    for fault in call::DIRECT {
        cells.push(cell::MatrixCell {
            fault: format!("call without relay: {}", fault.name()),
            step: call::CallStep::BeforeConnect.name().to_owned(),
            run: Box::new(move || Box::pin(call::run_direct(fault))),
        });
    }
    cells
}

fn operator_cells() -> Vec<cell::MatrixCell> {
    let mut rows = vec![(None, 2)];
    for fault in operator::FAULTS {
        rows.push((Some(fault), 1));
        rows.push((Some(fault), 2));
    }
    let mut cells = Vec::new();
    for (fault, operators) in rows {
        let name = fault.map_or_else(|| "no other fault".to_owned(), fault::SystemFault::name);
        let row = if operators == 1 {
            "apply"
        } else {
            "two operators"
        };
        for step in operator::STEPS {
            // An answer can only be lost after the effect.
            let is_lost = fault == Some(fault::SystemFault::TableAnswerLost);
            let is_made = step == operator::EffectStep::After || !(is_lost || fault.is_none());
            if !is_made {
                continue;
            }
            cells.push(cell::MatrixCell {
                fault: format!("{row}: {name}"),
                step: step.name().to_owned(),
                run: Box::new(move || Box::pin(operator::run(fault, step, operators))),
            });
        }
    }
    cells
}

fn lease_cells() -> Vec<cell::MatrixCell> {
    let mut cells = Vec::new();
    for (row, checks_fencing) in [("order", true), ("order, fencing ignored", false)] {
        for fault in lease::FAULTS {
            for step in operator::STEPS {
                cells.push(cell::MatrixCell {
                    fault: format!("{row}: {}", fault.name()),
                    step: step.name().to_owned(),
                    run: Box::new(move || Box::pin(lease::run(fault, step, checks_fencing))),
                });
            }
        }
    }
    cells
}

fn leaving_cells() -> Vec<cell::MatrixCell> {
    let mut cells = Vec::new();
    for source in leaving::SOURCES {
        for fault in leaving::FAULTS {
            let name = fault.map_or_else(|| "no other fault".to_owned(), fault::SystemFault::name);
            cells.push(cell::MatrixCell {
                fault: format!("leaving {}", source.name()),
                step: name,
                run: Box::new(move || Box::pin(leaving::run(source, fault))),
            });
        }
    }
    cells
}

fn refusal_cells() -> Vec<cell::MatrixCell> {
    let cells = refusal::CAUSES.map(|cause| cell::MatrixCell {
        fault: "refusal".to_owned(),
        step: cause.name().to_owned(),
        run: Box::new(move || Box::pin(refusal::run(cause))),
    });
    Vec::from(cells)
}

/// Cells that cannot be made yet.
const MISSING: [cell::MissingCell; 3] = [
    cell::MissingCell {
        fault: "router-router cut, and silent in both or one direction",
        reason: "routers name the peer address that they listen on, so that no relay fits between",
    },
    cell::MissingCell {
        fault: "operator-router cut, and silent in both or one direction",
        reason: "no relay stands before the operator ports yet; apply writes to the platform alone",
    },
    cell::MissingCell {
        fault: "engine-weight store cut, and silent in both or one direction",
        reason: "engines of the bench load without the weight store",
    },
];

/// The step at which the faults of a pair strike.
const PAIR_STEP: generation::AnswerStep = generation::AnswerStep::MidStream;

/// The same fault twice, two processes together, and an outage during each other fault.
fn pair_cells() -> Vec<cell::MatrixCell> {
    let mut pairs = Vec::new();
    for fault in fault::COMMON {
        pairs.push(("twice", [fault, fault]));
        if fault == fault::SystemFault::TableDown {
            continue;
        }
        pairs.push(("outage during", [fault::SystemFault::TableDown, fault]));
    }
    for router in fault::ROUTER {
        for endpoint in fault::ENDPOINT {
            pairs.push(("together", [router, endpoint]));
        }
    }
    let cells = pairs.into_iter().map(|(kind, faults)| cell::MatrixCell {
        fault: format!("pair {kind}"),
        step: format!("{} + {}", faults[0].name(), faults[1].name()),
        run: Box::new(move || Box::pin(async move { generation::run(&faults, PAIR_STEP).await })),
    });
    cells.collect()
}

#[test]
fn every_promise_holds_under_every_fault_at_every_step() {
    let filter = std::env::var(FILTER_VARIABLE).unwrap_or_default();
    let mut cells = generation_cells();
    cells.extend(call_cells());
    cells.extend(operator_cells());
    cells.extend(lease_cells());
    cells.extend(leaving_cells());
    cells.extend(pair_cells());
    cells.extend(refusal_cells());
    cells.retain(|cell| format!("{} at {}", cell.fault, cell.step).contains(&filter));
    assert!(!cells.is_empty(), "no cell is named like {filter:?}");
    let reports = cell::run_all(&cells);
    println!("{}", cell::table(&reports, &MISSING));
    let failures: Vec<String> = reports
        .iter()
        .filter_map(|report| Some(format!("{}: {}", report.name, report.failure()?)))
        .collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
