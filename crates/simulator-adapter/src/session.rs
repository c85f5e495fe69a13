//! A session with the simulator: runs one router per instance and passes it the events of batches.

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

/// Line reader that counts lines for error messages.
pub struct Input<R> {
    source: R,
    line: String,
    line_number: u64,
}

impl<R: BufRead> Input<R> {
    /// Creates an input at its first line.
    pub fn new(source: R) -> Input<R> {
        Input {
            source,
            line: String::new(),
            line_number: 0,
        }
    }

    /// Number of the line that was read last, from 1.
    pub fn line_number(&self) -> u64 {
        self.line_number
    }

    /// Reads the next line; `None` at the end of input.
    fn next_line(&mut self) -> io::Result<Option<Line<'_>>> {
        self.line.clear();
        if self.source.read_line(&mut self.line)? == 0 {
            return Ok(None);
        }
        self.line_number += 1;
        let text = self.line.trim_end_matches(['\n', '\r']);
        Ok(Some(Line::new(text)))
    }

    /// Reads the next line; an error at the end of input.
    fn require_line(&mut self, inside: &'static str) -> Result<Line<'_>, SessionError> {
        match self.next_line()? {
            Some(line) => Ok(line),
            None => Err(WireError::UnexpectedEndOfInput { inside }.into()),
        }
    }
}

/// Error that ends a session before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// The input violates the line protocol.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// Reading the input or writing the output failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A router with the names and the load report format from its settings.
struct Instance {
    router: Router,
    names: Names,
    reports: LoadReportFormat,
}

/// The routers of a session by number, and the output for their actions.
pub struct Session<W> {
    instances: HashMap<u64, Instance>,
    output: W,
    trace: Option<Trace>,
    /// Buffer for the actions of one event; empty between events.
    actions: Vec<Action>,
}

impl<W: Write> Session<W> {
    /// Creates a session without routers.
    pub fn new(output: W, trace: Option<Trace>) -> Session<W> {
        Session {
            instances: HashMap::new(),
            output,
            trace,
            actions: Vec::new(),
        }
    }

    /// Processes batches until the input ends.
    pub fn run<R: BufRead>(&mut self, input: &mut Input<R>) -> Result<(), SessionError> {
        while let Some(now) = read_batch_start(input)? {
            self.run_batch(input, now)?;
            wire::write_batch_end(&mut self.output)?;
            self.output.flush()?;
        }
        Ok(())
    }

    /// Processes the lines of a batch, all of which happen at `now`.
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
                        read_items(input, item_count, &instance.names, now, &mut event)?;
                        self.handle(now, router, event)?;
                    }
                }
                // Unknown lines are ignored, like unknown settings, for compatibility with newer
                // simulators.
                _ => {}
            }
        }
    }

    fn instance(&self, router: u64) -> Result<&Instance, WireError> {
        self.instances
            .get(&router)
            .ok_or(WireError::UnknownRouter { router })
    }

    /// Starts a router and replaces a running one with the same number.
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

    /// Passes an event to a router and writes the router's actions. A panic of the router is
    /// reported to the simulator, and the session continues.
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

/// Reads the first line of a batch and returns its time; `None` at the end of input.
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

/// Reads the `item` lines after an endpoint list update and adds them to the event.
fn read_items<R: BufRead>(
    input: &mut Input<R>,
    count: u64,
    names: &Names,
    now: Micros,
    event: &mut Event,
) -> Result<(), SessionError> {
    for _ in 0..count {
        let mut line = input.require_line("list")?;
        let endpoint = wire::endpoint(&mut line, names, now)?;
        if let Event::EndpointsChanged { endpoints, .. } = event {
            endpoints.push(endpoint);
        }
    }
    Ok(())
}

/// Message of a panic, from its payload.
fn panic_message(cause: &(dyn Any + Send)) -> &str {
    let owned = cause.downcast_ref::<String>().map(String::as_str);
    owned
        .or_else(|| cause.downcast_ref::<&str>().copied())
        .unwrap_or("panic")
}
