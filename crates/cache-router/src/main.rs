//! The router program: forwards requests between clients and a fleet of cache servers.
//!
//! `load-balancer` makes the decisions and `router-runtime` carries them out on sockets. This
//! program starts the runtime, passes signals and operators' commands to it, and hands over to the
//! next process in a hot restart. It runs on one thread.

mod admin_state;
mod configuration;
mod hand_over;
mod operator_file;
mod process;
mod shared_memory;
mod signals;
mod stored_state;
mod summary;
mod takeover;

use process::StartError;
use router_runtime::RouterRuntime;
use router_runtime::tokio_environment::TokioEnvironment;
use std::process::ExitCode;
use tokio::task::LocalSet;

/// The router runtime on the sockets and clock of the operating system.
type Runtime = RouterRuntime<TokioEnvironment>;

/// Exit code of a process that could not start.
const EXIT_CODE_NOT_STARTED: u8 = 2;
/// Exit code after a panic, the same as that of the standard library.
const EXIT_CODE_PANIC: i32 = 101;

fn main() -> ExitCode {
    // A panic leaves the router in an unknown state, so the process exits at once. The platform
    // starts a new one.
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
