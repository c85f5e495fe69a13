//! The operator file: an invalid file prevents the start with a one-line error that names the line
//! in the file, and the shipped file leaves coalescing off. Runs the router binary.

use request_coalescing::CoalescingFile;
use test_support::*;

#[test]
fn an_invalid_file_prevents_the_start_with_a_one_line_error() {
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let config = configuration(discovery.addr, &[]).to_string();
    let cases = [
        (
            "[joining]\nclasses = [\"a\"]\nspeed = 3\n",
            "line 3: unknown field `speed`",
        ),
        ("[joining]\nclasses = 3\n", "line 2: invalid type"),
        ("[joining]\n\nclasses = [\n", "line 3"),
        ("[quotas]\n", "line 1: unknown field `quotas`"),
        ("[joining.bounds]\nwaiters = -1\n", "line 2: "),
    ];
    for (text, expected) in cases {
        let Exit { status, log } = run_to_end_with_operator_file(&config, text);
        assert_eq!(status.code(), Some(2), "{text}: {log}");
        let (_path, problem) = log
            .strip_prefix("asterport: ")
            .and_then(|line| line.split_once("operator.toml: "))
            .unwrap_or_else(|| panic!("{text}: {log}"));
        assert!(
            problem.starts_with(expected) && log.lines().count() == 1,
            "{text}: {log}"
        );
    }
}

#[test]
fn the_shipped_file_is_valid_and_disables_coalescing() {
    let text = include_str!("../../../deploy/operator.toml");
    let mut tables: toml::Table = toml::from_str(text).expect("failed to decode");
    let joining = tables.remove("joining").expect("no [joining] table");
    let joining: CoalescingFile = joining.try_into().expect("failed to decode");
    assert_eq!(joining, CoalescingFile::default());
    let server = CacheServer::start("s-a");
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let mut router = RouterProcess::start_with_operator_file(
        &configuration(discovery.addr, &[server.entry("up")]),
        text,
    );
    let answer = router.client().request("read", "00000000000000aa");
    assert!(answer.contains("s-a"), "{answer}");
    // A router with coalescing would log its counters before the last line.
    router.terminate();
    assert_eq!(router.wait().code(), Some(0));
    wait_until("the last line is logged", || {
        router.log_contains("stopped, all answered")
    });
    assert!(!router.log_contains("joining: "));
}
