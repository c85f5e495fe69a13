//! Adapter between the simulator and the `load-balancer` library: reads the simulator's line
//! protocol from standard input, runs one router per instance and writes the routers' actions to
//! standard output. All decisions are made by the library.
//!
//! `--trace FILE` writes the mean state of the routers to a file, one line per second.

mod error;
mod line;
mod session;
mod trace;
mod wire;

use session::{Input, Session, SessionError};
use std::io::{self, BufWriter};
use std::process::ExitCode;
use trace::Trace;

/// Size of the output buffer, in bytes.
const OUTPUT_BUFFER_BYTES: usize = 1 << 16;
/// Exit code for invalid input or arguments.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    // Panics of routers are reported as `crash` lines instead.
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

/// Opens the trace file that the arguments name, if any.
fn open_trace() -> io::Result<Option<Trace>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.as_slice() {
        [] => Ok(None),
        [flag, path] if flag == "--trace" => Trace::create(path).map(Some),
        _ => Err(io::Error::other("usage: simulator-adapter [--trace FILE]")),
    }
}
