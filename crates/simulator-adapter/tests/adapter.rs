//! The adapter process, driven through its standard input and output.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = "peers_total=2\tzones=east\tkinds=box,origin\tzone=east\trequest_classes.count=2\t\
request_classes.0.name=read\trequest_classes.0.effect=idempotent\trequest_classes.0.target=0.3\t\
request_classes.0.give_up=1.0\trequest_classes.0.credit=1.0\trequest_classes.0.late_value=0.3\t\
request_classes.1.name=write\trequest_classes.1.effect=at_most_once\trequest_classes.1.target=0.3\t\
request_classes.1.give_up=1.0\tcustomers.count=1\tcustomers.0.name=acme\tcustomers.0.quota_per_s=10\t\
customers.0.share=1.0\tdiscovery=subscribe\tinvariants.ask_within=10\tinvariants.grace_to_answer=0.02\t\
invariants.drain_grace=0.25\tinvariants.cold_from=0.3\tinvariants.cold=8\tinvariants.overload_factor=3\t\
invariants.fall=1\tlimits.max_attempts=3\tlimits.may_duplicate=true\tstats.columns=utilization\t\
specifics.mode=through\tspecifics.origin_kind=-1\tsome.new.key=7";

fn run(input: &str) -> Output {
    run_with(&[], input)
}

fn run_with(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().expect("its input");
    let text = input.to_string();
    let writer = std::thread::spawn(move || {
        // The adapter stops reading at a malformed line, so that writing may fail.
        let _ = stdin.write_all(text.as_bytes());
    });
    let output = child.wait_with_output().expect("the adapter ends");
    writer.join().expect("the input is written");
    output
}

fn stdout(output: &Output) -> Vec<String> {
    String::from_utf8_lossy(&output.stdout)
        .lines()
        .map(str::to_string)
        .collect()
}

fn up(router: u32) -> String {
    format!(
        "up\t{router}\t5\t{SETTINGS}\nmembership\t{router}\twarm_copy\t1\t2\n\
         item\t0\t10.0.0.1:80\tRunning\teast\tbox\t-\t1\nitem\t0\t10.0.0.2:80\tRunning\teast\tbox\t3.5\t1.5\textra\n"
    )
}

#[test]
fn a_request_is_sent_and_its_outcome_read() {
    let input = format!(
        "sync\t8\ncommit\nsync\t100.5\n{}commit\nsync\t101\n\
         arrival\t3\t77\tread\tacme\t2\t101.8\t0.012\t1.25\t0\t0\tnew field\ncommit\n\
         sync\t101.1\noutcome\t3\t77\t0\t10.0.0.2:80\t-\tunreachable\t0.1\t0\t0.5\ncommit\n\
         sync\t101.2\noutcome\t3\t77\t1\t10.0.0.1:80\t1\tsuccess\t0.1\t1\t-\nlapsed\t3\t77\ncommit\n",
        up(3)
    );
    let output = run(&input);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert_eq!(
        stdout(&output),
        [
            "yield",
            "follow\t3\t1",
            "yield",
            "sleep\t3\t0.8\t308",
            "send\t3\t77\t10.0.0.2:80\t0",
            "yield",
            "send\t3\t77\t10.0.0.1:80\t0",
            "yield",
            "yield",
        ]
    );
}

#[test]
fn rejections_and_failures_are_written() {
    let input = format!(
        "sync\t100\n{}commit\nsync\t101\narrival\t3\t1\tread\t-\t2\t101.5\t-\t-\t0\t0\n\
         arrival\t3\t2\twrite\t-\t2\t101.5\t-\t-\t0\t1\ncommit\nsync\t101.5\ndue\t3\t4\ndue\t3\t8\ncommit\n",
        up(3)
    );
    let output = stdout(&run(&input));
    assert!(output.contains(&"busy\t3\t1\t0".to_string()), "{output:?}");
    assert!(output.contains(&"error\t3\t2".to_string()), "{output:?}");
}

#[test]
fn every_event_is_read_and_unknown_ones_are_ignored() {
    let input = format!(
        "sync\t100\n{}commit\nsync\t101\nheaders\t3\t5\t0\t10.0.0.1:80\t0.1\nlapsed\t3\t6\ndue\t3\t9\n\
         checked\t3\tsuccess\t10.0.0.1:80\t0.001\t-\nwhisper\t3\t1\t6869\nsomething_new\t3\tx\n\
         membership\t3\tlost\t2\t0\nmembership\t3\tincr\t3\t1\nitem\t0\t10.0.0.1:80\tStopping\teast\tbox\t-\t1\n\
         membership\t3\ttotal\t4\t1\nitem\t0\t10.0.0.1:80\tDeleted\teast\tbox\t-\t1\nexit\t3\ncommit\n",
        up(3)
    );
    let output = run(&input);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert_eq!(stdout(&output).last().map(String::as_str), Some("yield"));
}

#[test]
fn instances_are_independent_and_restart_without_state() {
    let arrivals: String = (0..3)
        .map(|r| format!("arrival\t{r}\t9\tread\tacme\t2\t101.5\t-\t-\t0\t0\n"))
        .collect();
    let input = format!(
        "sync\t100\n{}{}{}commit\nsync\t101\n{arrivals}commit\nsync\t101.1\nexit\t1\n{}commit\n\
         sync\t101.2\narrival\t1\t9\tread\tacme\t2\t101.5\t-\t-\t0\t0\ncommit\n",
        up(0),
        up(1),
        up(2),
        up(1)
    );
    let output = stdout(&run(&input));
    for router in 0..3 {
        let sends = output
            .iter()
            .filter(|l| l.starts_with(&format!("send\t{router}\t9\t10.0.0.2:80")))
            .count();
        assert_eq!(sends, if router == 1 { 2 } else { 1 }, "{output:?}");
    }
}

#[test]
fn long_batches_are_answered_completely() {
    let arrivals: String = (0..20_000)
        .map(|id| format!("arrival\t3\t{id}\tread\tacme\t{id}\t101.5\t-\t-\t0\t0\n"))
        .collect();
    let output = stdout(&run(&format!(
        "sync\t100\n{}commit\nsync\t101\n{arrivals}commit\n",
        up(3)
    )));
    let answered = output
        .iter()
        .filter(|l| l.starts_with("send\t") || l.starts_with("busy\t"))
        .count();
    assert_eq!(answered, 20_000);
    assert_eq!(output.last().map(String::as_str), Some("yield"));
}

#[test]
fn the_adapter_exits_successfully_at_the_end_of_input() {
    assert!(run("").status.success());
    assert!(run("sync\t1\ncommit\n").status.success());
}

/// A malformed line ends the adapter with one message that names the line number and the cause.
#[test]
fn a_malformed_line_is_reported_with_number_and_cause() {
    let setup = format!("sync\t100\n{}commit\nsync\t101\n", up(3));
    let line = setup.lines().count() + 1;
    for (malformed, cause) in [
        (
            "arrival\t3\tx\tread\tacme\t2\t101.8\t-\t-\t0\t0\n",
            "id 'x'",
        ),
        (
            "arrival\t3\t1\tnope\tacme\t2\t101.8\t-\t-\t0\t0\n",
            "class 'nope'",
        ),
        ("arrival\t3\t1\tread\tacme\t2\n", "expires is missing"),
        (
            "arrival\t3\t1\tread\tacme\t2\t-5\t-\t-\t0\t0\n",
            "expires '-5'",
        ),
        (
            "outcome\t3\t1\t0\t10.0.0.1:80\t-\texploded\t0.1\t0\t-\n",
            "code 'exploded'",
        ),
        (
            "outcome\t3\t1\t2\t10.0.0.1:80\t-\tsuccess\t0.1\t0\t-\n",
            "complete '2'",
        ),
        ("membership\t3\tincr\t1\tmany\n", "items 'many'"),
        ("membership\t3\tincr\t1\t1\ncommit\n", "expected item"),
        ("due\t4\t1\n", "router 4 is not running"),
        (
            "up\t4\t1\tpeers_total=2\n",
            "request_classes.count is missing",
        ),
    ] {
        let output = run(&format!("{setup}{malformed}commit\n"));
        let stderr = String::from_utf8_lossy(&output.stderr).to_string();
        assert_eq!(output.status.code(), Some(2), "{malformed:?} was accepted");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        let second_line = malformed.contains("items") || cause == "expected item";
        let number = if second_line && cause == "expected item" {
            line + 1
        } else {
            line
        };
        assert!(
            stderr.contains(&format!("line {number}:")),
            "{malformed:?}: {stderr}"
        );
        assert!(stderr.contains(cause), "{malformed:?}: {stderr}");
    }
    assert!(
        !run("sync\t100\narrival\t3").status.success(),
        "input that ends inside a batch"
    );
    assert!(!run("hello\n").status.success());
}

#[test]
fn invalid_settings_are_reported_by_path() {
    for (from, to, cause) in [
        (
            "request_classes.0.target=0.3",
            "request_classes.0.target=0",
            "classes.0.aim",
        ),
        (
            "request_classes.0.effect=idempotent",
            "request_classes.0.effect=maybe",
            "request_classes.0.effect",
        ),
        (
            "invariants.cold_from=0.3",
            "invariants.cold_from=NaN",
            "invariants.cold_from",
        ),
        (
            "invariants.cold_from=0.3\t",
            "",
            "invariants.cold_from is missing",
        ),
        (
            "limits.max_attempts=3",
            "limits.max_attempts=0",
            "limits.max_attempts",
        ),
        (
            "limits.may_duplicate=true",
            "limits.may_duplicate=perhaps",
            "limits.may_duplicate",
        ),
    ] {
        let input = format!("sync\t100\n{}commit\n", up(3)).replace(from, to);
        let output = run(&input);
        let stderr = String::from_utf8_lossy(&output.stderr).to_string();
        assert_eq!(output.status.code(), Some(2), "{to} was accepted");
        assert!(stderr.contains(cause), "{to}: {stderr}");
    }
}

/// The router receives its settings: it sets a timeout where late answers have no weight, closes
/// idle connections to a draining server if configured, and moves keys off a server with a low
/// weight.
#[test]
fn settings_are_passed_to_the_router() {
    let setup = |extra_settings: &str| {
        format!(
            "sync\t100\nup\t3\t5\t{SETTINGS}{extra_settings}\nmembership\t3\ttotal\t1\t2\n\
             item\t0\t10.0.0.1:80\tRunning\teast\tbox\t-\t4\nitem\t0\t10.0.0.2:80\tRunning\teast\tbox\t-\t0.1\ncommit\n"
        )
    };
    let arrivals: String = (0..8)
        .map(|id| format!("arrival\t3\t{id}\tread\tacme\t{id}\t101.8\t-\t-\t0\t0\n"))
        .collect();
    let sends_to_small_server = |extra_settings: &str| {
        let output = stdout(&run(&format!(
            "{}sync\t101\n{arrivals}commit\n",
            setup(extra_settings)
        )));
        output
            .iter()
            .filter(|l| l.starts_with("send\t") && l.contains("10.0.0.2:80"))
            .count()
    };
    assert!(sends_to_small_server("") > 2);
    assert!(
        sends_to_small_server("\tweight_kind=live") > 2,
        "live weights do not express capacity"
    );
    assert!(sends_to_small_server("\tweight_kind=nominal") <= 1);
    let input = setup(
        "\tinvariants.drain_close=0.8\trequest_classes.0.late_value=0\trequest_classes.0.target=1.2\t\
         request_classes.0.give_up=3",
    );
    let output = stdout(&run(&format!(
        "{input}sync\t101\narrival\t3\t77\tread\tacme\t2\t103\t-\t-\t0\t0\ncommit\nsync\t101.1\n\
         membership\t3\tincr\t2\t1\nitem\t0\t10.0.0.1:80\tStopping\teast\tbox\t-\t4\ncommit\n"
    )));
    assert!(
        output.contains(&"let_go\t3\t10.0.0.1:80".to_string()),
        "{output:?}"
    );
    assert!(
        output
            .iter()
            .any(|l| l.starts_with("send\t3\t77\t") && !l.ends_with("\t0")),
        "{output:?}"
    );
}

/// Tracing does not change the replies, and a trace file that cannot be created is reported before
/// any input is read.
#[test]
fn a_trace_has_one_line_per_second_and_changes_no_reply() {
    let input = format!(
        "sync\t100.5\n{}commit\nsync\t100.7\ncommit\nsync\t102\ncommit\n",
        up(3)
    );
    let path = std::env::temp_dir().join(format!("simulator-adapter-trace-{}", std::process::id()));
    let traced = run_with(&["--trace", path.to_str().expect("a plain path")], &input);
    assert_eq!(stdout(&traced), stdout(&run(&input)));
    let text = std::fs::read_to_string(&path).expect("the trace");
    std::fs::remove_file(&path).expect("removed");
    let starts: Vec<_> = text
        .lines()
        .map(|line| line.split_whitespace().next().unwrap_or(""))
        .collect();
    assert_eq!(starts, ["second", "100.5", "102.0"]);
    for arguments in [
        &["--trace"][..],
        &["--trace", "/nowhere/at/all"],
        &["--other", "x"],
    ] {
        let failed = run_with(arguments, "");
        assert_eq!(failed.status.code(), Some(2), "{arguments:?}");
        assert_eq!(
            String::from_utf8_lossy(&failed.stderr).lines().count(),
            1,
            "{arguments:?}"
        );
    }
}
