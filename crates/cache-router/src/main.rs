//! The program: a router on real sockets between the clients of a fleet of cache servers and the servers.
//!
//! `load-balancer` decides, `router-runtime` carries decisions out; this program starts the runtime, feeds it signals
//! and operators' commands, and hands over to the next process. It runs on one thread.

mod admin_state;
mod configuration;
mod hand_over;
mod operator_file;
mod process;
mod signals;
mod summary;
mod takeover;

use process::StartError;
use router_runtime::RouterRuntime;
use router_runtime::tokio_environment::TokioEnvironment;
use std::process::ExitCode;
use tokio::task::LocalSet;

/// The router on real sockets.
type Runtime = RouterRuntime<TokioEnvironment>;

/// Exit code of a process that could not start.
const EXIT_CODE_NOT_STARTED: u8 = 2;
/// Exit code after a panic, as of the standard library.
const EXIT_CODE_PANIC: i32 = 101;

fn main() -> ExitCode {
    // A panic leaves the router in an unknown state: end at once; the platform starts a new process.
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("asterport: {panic}");
        std::process::exit(EXIT_CODE_PANIC);
    }));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("asterport: {error}");
            ExitCode::from(EXIT_CODE_NOT_STARTED)
        }
    }
}

fn run() -> Result<(), StartError> {
    let executor = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Executor)?;
    LocalSet::new().block_on(&executor, process::run())
}
