//! One session with the simulator: hosts a router for each instance and hands it the events of each batch.

use crate::error::WireError;
use crate::line::Line;
use crate::trace::Trace;
use crate::wire;
use load_balancer::deployment::{self, Names};
use load_balancer::{Action, Event, LoadReportFormat, Micros, Router};
use std::any::Any;
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Reads lines and counts them.
pub struct Input<R> {
    source: R,
    line: String,
    line_number: u64,
}

impl<R: BufRead> Input<R> {
    /// Input of which nothing is read yet.
    pub fn new(source: R) -> Input<R> {
        Input {
            source,
            line: String::new(),
            line_number: 0,
        }
    }

    /// The number of the line that was read last, from 1.
    pub fn line_number(&self) -> u64 {
        self.line_number
    }

    /// The next line, or `None` at the end of input.
    fn next_line(&mut self) -> io::Result<Option<Line<'_>>> {
        self.line.clear();
        if self.source.read_line(&mut self.line)? == 0 {
            return Ok(None);
        }
        self.line_number += 1;
        let text = self.line.trim_end_matches(['\n', '\r']);
        Ok(Some(Line::new(text)))
    }

    /// The next line of something that has not ended.
    fn require_line(&mut self, inside: &'static str) -> Result<Line<'_>, SessionError> {
        match self.next_line()? {
            Some(line) => Ok(line),
            None => Err(WireError::UnexpectedEndOfInput { inside }.into()),
        }
    }
}

/// Why a session ended before its input.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// The input cannot be read as lines of the wire.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// One router and the names of its settings.
struct Instance {
    router: Router,
    names: Names,
    reports: LoadReportFormat,
}

/// The routers of a session, by their numbers, and where their actions go.
pub struct Session<W> {
    instances: HashMap<u64, Instance>,
    output: W,
    trace: Option<Trace>,
    /// Empty between events.
    actions: Vec<Action>,
}

impl<W: Write> Session<W> {
    /// A session without routers.
    pub fn new(output: W, trace: Option<Trace>) -> Session<W> {
        Session {
            instances: HashMap::new(),
            output,
            trace,
            actions: Vec::new(),
        }
    }

    /// Answers batch after batch until the input ends.
    pub fn run<R: BufRead>(&mut self, input: &mut Input<R>) -> Result<(), SessionError> {
        while let Some(now) = read_batch_start(input)? {
            self.run_batch(input, now)?;
            wire::write_batch_end(&mut self.output)?;
            self.output.flush()?;
        }
        Ok(())
    }

    /// Takes in the lines of a batch, all of which happen at `now`.
    fn run_batch<R: BufRead>(
        &mut self,
        input: &mut Input<R>,
        now: Micros,
    ) -> Result<(), SessionError> {
        loop {
            let mut line = input.require_line("batch")?;
            match line.name() {
                "commit" => return Ok(self.write_trace(now)?),
                "up" => self.start_router(&mut line)?,
                "exit" => {
                    self.instances.remove(&line.integer("router")?);
                }
                name if wire::is_event(name) => {
                    let router = line.integer("router")?;
                    let instance = self.instance(router)?;
                    let item_count = wire::item_count(&line)?;
                    let event = wire::event(&mut line, &instance.names, &instance.reports)?;
                    if let Some(mut event) = event {
                        read_items(input, item_count, &instance.names, &mut event)?;
                        self.handle(now, router, event)?;
                    }
                }
                // Lines that are new to this adapter are ignored, as new settings are.
                _ => {}
            }
        }
    }

    fn instance(&self, router: u64) -> Result<&Instance, WireError> {
        self.instances
            .get(&router)
            .ok_or(WireError::UnknownRouter { router })
    }

    /// Starts a router, in place of one that has the same number.
    fn start_router(&mut self, line: &mut Line<'_>) -> Result<(), WireError> {
        let number = line.integer("router")?;
        let seed = line.integer("rng_seed")?;
        let deployment = deployment::read(wire::split_settings(line.rest())?)?;
        let instance = Instance {
            router: Router::new(deployment.settings, seed)?,
            names: deployment.names,
            reports: deployment.report_format,
        };
        self.instances.insert(number, instance);
        Ok(())
    }

    /// Hands an event to a router and writes what it wants done. A router that panics is reported to the
    /// simulator, and the session goes on.
    fn handle(&mut self, now: Micros, number: u64, event: Event) -> Result<(), SessionError> {
        if let Some(trace) = &mut self.trace {
            trace.record_event(&event);
        }
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(WireError::UnknownRouter { router: number }.into());
        };
        let router = &mut instance.router;
        let actions = &mut self.actions;
        let result = catch_unwind(AssertUnwindSafe(|| router.handle(now, event, actions)));
        if let Err(cause) = result {
            wire::write_crash(&mut self.output, number, panic_message(&*cause))?;
            self.actions.clear();
        }
        for action in self.actions.drain(..) {
            if let Some(trace) = &mut self.trace {
                trace.record_action(&action);
            }
            wire::write_action(&mut self.output, number, &action)?;
        }
        Ok(())
    }

    fn write_trace(&mut self, now: Micros) -> io::Result<()> {
        let instances = self.instances.values();
        let diagnostics = instances.map(|instance| instance.router.diagnostics());
        match &mut self.trace {
            Some(trace) if trace.is_due(now) => trace.write_line(now, diagnostics),
            _ => Ok(()),
        }
    }
}

/// Reads the line that opens a batch and returns its time; `None` at the end of input.
fn read_batch_start<R: BufRead>(input: &mut Input<R>) -> Result<Option<Micros>, SessionError> {
    let Some(mut line) = input.next_line()? else {
        return Ok(None);
    };
    if line.name() != "sync" {
        let unexpected = WireError::UnexpectedLine {
            expected: "sync",
            found: line.name().into(),
        };
        return Err(unexpected.into());
    }
    Ok(Some(line.time("clock")?))
}

/// Reads the items that follow an update of the endpoint list into it.
fn read_items<R: BufRead>(
    input: &mut Input<R>,
    count: u64,
    names: &Names,
    event: &mut Event,
) -> Result<(), SessionError> {
    for _ in 0..count {
        let mut line = input.require_line("list")?;
        let endpoint = wire::endpoint(&mut line, names)?;
        if let Event::EndpointsChanged { endpoints, .. } = event {
            endpoints.push(endpoint);
        }
    }
    Ok(())
}

/// The message of a panic.
fn panic_message(cause: &(dyn Any + Send)) -> &str {
    let owned = cause.downcast_ref::<String>().map(String::as_str);
    owned
        .or_else(|| cause.downcast_ref::<&str>().copied())
        .unwrap_or("panic")
}
