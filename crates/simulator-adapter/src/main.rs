//! The adapter: reads the bench's wire on standard input, hosts one `Router` for each instance, writes the replies.
//! It decides nothing. `--trace FILE` writes what the routers believe to a file, a line a second (`trace.rs`).
#![forbid(unsafe_code)]

mod trace;
mod wire;

use load_balancer::deployment::{self, Deployment};
use load_balancer::{Action, LoadReportFormat, Router};
use std::collections::HashMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use trace::Trace;
use wire::{Line, WireError};

/// One instance: its router and the names of its settings.
struct Instance {
    router: Router,
    names: deployment::Names,
    reports: LoadReportFormat,
}

/// Reads lines and counts them.
struct Input<R> {
    source: R,
    text: String,
    number: u64,
}

impl<R: BufRead> Input<R> {
    /// The next line, or `None` at the end of input.
    fn next(&mut self) -> io::Result<Option<Line<'_>>> {
        self.text.clear();
        if self.source.read_line(&mut self.text)? == 0 {
            return Ok(None);
        }
        self.number += 1;
        Ok(Some(Line::new(self.text.trim_end_matches(['\n', '\r']))))
    }
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| {}));
    let mut input = Input {
        source: io::stdin().lock(),
        text: String::new(),
        number: 0,
    };
    let trace = match std::env::args().skip(1).collect::<Vec<_>>().as_slice() {
        [] => Ok(None),
        [flag, path] if flag == "--trace" => Trace::create(path).map(Some),
        _ => Err(io::Error::other("usage: simulator-adapter [--trace FILE]")),
    };
    let trace = match trace {
        Ok(trace) => trace,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            return ExitCode::from(2);
        }
    };
    match run(
        &mut input,
        BufWriter::with_capacity(1 << 16, io::stdout().lock()),
        trace,
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(Stop::Wire(error)) => {
            eprintln!("simulator-adapter: line {}: {error}", input.number);
            ExitCode::from(2)
        }
        Err(Stop::Io(error)) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

enum Stop {
    Wire(WireError),
    Io(io::Error),
}

impl From<WireError> for Stop {
    fn from(error: WireError) -> Self {
        Stop::Wire(error)
    }
}

impl From<io::Error> for Stop {
    fn from(error: io::Error) -> Self {
        Stop::Io(error)
    }
}

fn run<R: BufRead, W: Write>(
    input: &mut Input<R>,
    mut output: W,
    mut trace: Option<Trace>,
) -> Result<(), Stop> {
    let mut instances: HashMap<u64, Instance> = HashMap::new();
    let mut actions = Vec::new();
    loop {
        let now = match input.next()? {
            None => return Ok(()),
            Some(mut line) if line.name() == "sync" => line.time("clock")?,
            Some(line) => {
                return Err(
                    WireError::new(format!("expected sync, found '{}'", line.name())).into(),
                );
            }
        };
        loop {
            let Some(mut line) = input.next()? else {
                return Err(WireError::new("input ended inside a batch".into()).into());
            };
            match line.name() {
                "commit" => {
                    if let Some(trace) = trace.as_mut().filter(|trace| trace.is_due(now)) {
                        trace.line(now, instances.values().map(|i| i.router.diagnostics()))?;
                    }
                    break;
                }
                "up" => {
                    let number = line.integer("router")?;
                    let seed = line.integer("rng_seed")?;
                    let pairs = wire::pairs(line.rest())?;
                    let Deployment {
                        settings,
                        names,
                        reports,
                        ..
                    } = deployment::read(pairs).map_err(WireError::from)?;
                    let router =
                        Router::new(settings, seed).map_err(|e| WireError::new(e.to_string()))?;
                    instances.insert(
                        number,
                        Instance {
                            router,
                            names,
                            reports,
                        },
                    );
                }
                "exit" => {
                    instances.remove(&line.integer("router")?);
                }
                name if wire::EVENTS.contains(&name) => {
                    let number = line.integer("router")?;
                    let Some(instance) = instances.get_mut(&number) else {
                        return Err(
                            WireError::new(format!("router {number} has not come up")).into()
                        );
                    };
                    let count = wire::item_count(&line)?;
                    let Some(mut event) =
                        wire::event(&mut line, &instance.names, &instance.reports)?
                    else {
                        continue;
                    };
                    for _ in 0..count {
                        let Some(mut item) = input.next()? else {
                            return Err(WireError::new("input ended inside a list".into()).into());
                        };
                        wire::item(&mut item, &instance.names, &mut event)?;
                    }
                    trace.iter_mut().for_each(|trace| trace.event(&event));
                    let router = &mut instance.router;
                    let done =
                        catch_unwind(AssertUnwindSafe(|| router.handle(now, event, &mut actions)));
                    if let Err(cause) = done {
                        let text = cause.downcast_ref::<String>().map(String::as_str);
                        let text = text
                            .or_else(|| cause.downcast_ref::<&str>().copied())
                            .unwrap_or("panic");
                        writeln!(
                            output,
                            "crash\t{number}\t{}",
                            text.replace(['\n', '\t'], " ")
                        )?;
                        actions.clear();
                    }
                    for action in actions.drain(..) {
                        trace.iter_mut().for_each(|trace| trace.action(&action));
                        wire::write(&mut output, number, &action)?;
                    }
                }
                // An event that is new to this adapter: passed over, as new settings are.
                _ => {}
            }
        }
        output.write_all(b"yield\n")?;
        output.flush()?;
    }
}
