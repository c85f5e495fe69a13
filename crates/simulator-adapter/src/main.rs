//! The adapter between the simulator and the decision library: reads the simulator's wire on standard input, hosts a
//! router for each instance, writes the replies. It decides nothing.
//!
//! `--trace FILE` writes the state of the routers to a file, a line a second.

mod error;
mod line;
mod session;
mod trace;
mod wire;

use session::{Input, Session, SessionError};
use std::io::{self, BufWriter};
use std::process::ExitCode;
use trace::Trace;

/// Bytes of output that are written together.
const OUTPUT_BUFFER_BYTES: usize = 1 << 16;
/// Exit code for input or arguments that cannot be used.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    // Panics of routers are reported on the wire.
    std::panic::set_hook(Box::new(|_| {}));
    let trace = match open_trace() {
        Ok(trace) => trace,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    let output = BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, io::stdout().lock());
    let mut input = Input::new(io::stdin().lock());
    match Session::new(output, trace).run(&mut input) {
        Ok(()) => ExitCode::SUCCESS,
        Err(SessionError::Wire(error)) => {
            let line_number = input.line_number();
            eprintln!("simulator-adapter: line {line_number}: {error}");
            ExitCode::from(USAGE_EXIT_CODE)
        }
        Err(SessionError::Io(error)) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The trace that the arguments ask for.
fn open_trace() -> io::Result<Option<Trace>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.as_slice() {
        [] => Ok(None),
        [flag, path] if flag == "--trace" => Trace::create(path).map(Some),
        _ => Err(io::Error::other("usage: simulator-adapter [--trace FILE]")),
    }
}
