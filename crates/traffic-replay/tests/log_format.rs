//! Formats of access logs as servers' own configurations write them.

use proptest::prelude::*;
use traffic_replay::*;

fn text(fields: &Fields<'_>, name: FieldName<'_>) -> String {
    String::from_utf8_lossy(fields.get(name).unwrap_or(b"(none)")).into_owned()
}

const COMBINED: &[u8] = br#"192.0.2.7 - siswa [10/Oct/2025:13:55:36 +0700] "GET /soal/7f3a?r=2 HTTP/1.1" 200 2326 "-" "Mozilla/5.0 (\"tablet\")""#;

#[test]
fn a_combined_line_is_cut_into_its_fields() {
    let format = LogFormat::combined();
    let fields = format.split(COMBINED).expect("a combined line");
    assert_eq!(text(&fields, FieldName::Client), "192.0.2.7");
    assert_eq!(
        text(&fields, FieldName::TimeLocal),
        "10/Oct/2025:13:55:36 +0700"
    );
    assert_eq!(
        text(&fields, FieldName::Request),
        "GET /soal/7f3a?r=2 HTTP/1.1"
    );
    assert_eq!(text(&fields, FieldName::Status), "200");
    assert_eq!(text(&fields, FieldName::Bytes), "2326");
    assert_eq!(
        text(&fields, FieldName::Header("user-agent")),
        r#"Mozilla/5.0 (\"tablet\")"#
    );
    assert_eq!(fields.get(FieldName::DurationMicros), None);
}

#[test]
fn nginx_and_apache_spellings_of_one_format_cut_alike() {
    let nginx = LogFormat::nginx(
        r#"$remote_addr - $remote_user [$time_local] "$request" $status $body_bytes_sent "$http_referer" "${http_user_agent}""#,
    )
    .expect("nginx's combined");
    let (ours, theirs) = (nginx.split(COMBINED).expect("cut"), LogFormat::combined());
    let theirs = theirs.split(COMBINED).expect("cut");
    for name in [
        FieldName::Client,
        FieldName::TimeLocal,
        FieldName::Request,
        FieldName::Header("user-agent"),
    ] {
        assert_eq!(text(&ours, name), text(&theirs, name));
    }
}

#[test]
fn durations_and_times_say_their_units() {
    let format = LogFormat::apache(r#"%{usec}t %{ms}T %D %T %m %U%% "%{X-Tenant}i" %{cookie}C"#)
        .expect("a format");
    let fields = format
        .split(br#"1760079336000000 12 12345 0 GET /soal% "smp-3" c"#)
        .expect("cut");
    assert_eq!(text(&fields, FieldName::TimeMicros), "1760079336000000");
    assert_eq!(text(&fields, FieldName::DurationMillis), "12");
    assert_eq!(text(&fields, FieldName::DurationMicros), "12345");
    assert_eq!(text(&fields, FieldName::DurationSeconds), "0");
    assert_eq!(text(&fields, FieldName::Path), "/soal");
    assert_eq!(text(&fields, FieldName::Header("x-tenant")), "smp-3");
    assert_eq!(text(&fields, FieldName::Other("{cookie}C")), "c");
}

/// Guards against a file's own escapes: a configuration's `\"` is a quote of the line.
#[test]
fn an_apache_format_may_keep_the_files_escapes() {
    assert_eq!(
        LogFormat::apache(r#"%h \"%r\" %>s"#),
        LogFormat::apache(r#"%h "%r" %>s"#)
    );
}

#[test]
fn a_line_that_departs_from_the_format_says_where() {
    let format = LogFormat::common();
    let error = |line: &[u8]| {
        format
            .split(line)
            .map(|_| ())
            .expect_err("not of this form")
            .to_string()
    };
    assert_eq!(error(b""), "column 1: ' ' is missing");
    assert_eq!(error(b"192.0.2.7 - - 10/Oct"), "column 21: ' ' is missing");
    let line = br#"h - - [10/Oct/2025:13:55:36 +0700] "GET / HTTP/1.1 200 7"#;
    assert_eq!(
        error(line),
        format!("column {}: '\"' is missing", line.len() + 1)
    );
    let format = LogFormat::nginx("$status|").expect("a format");
    assert_eq!(
        format
            .split(b"200|x")
            .map(|_| ())
            .expect_err("too long")
            .to_string(),
        "column 5: the line goes on where it should end"
    );
}

#[test]
fn a_format_that_cannot_be_used_names_column_and_reason() {
    let rows = [
        ("nginx", "plain text", "column 11: no field"),
        (
            "nginx",
            "$status$request",
            "column 8: two fields with nothing between them",
        ),
        ("nginx", "a ${status", "column 3: '${' is never closed"),
        ("nginx", "$ x", "column 1: a '$' that no name follows"),
        ("apache", "%h %", "column 4: a '%' that nothing follows"),
        ("apache", "%{X-A", "column 1: '%{' is never closed"),
        (
            "apache",
            "%h %{%Y}t",
            "column 4: the directive that ends with 't' is not known",
        ),
        (
            "apache",
            "%h %i",
            "column 4: the directive that ends with 'i' is not known",
        ),
    ];
    for (server, format, expected) in rows {
        let compiled = if server == "nginx" {
            LogFormat::nginx(format)
        } else {
            LogFormat::apache(format)
        };
        let error = compiled.expect_err(format).to_string();
        assert!(
            error.starts_with(&format!("log format, {expected}")),
            "{format}: {error}"
        );
    }
}

proptest! {
    #[test]
    fn no_format_and_no_line_is_a_panic(format in "[$%{}\"a-z_ <>!,0-9é-]{0,40}", line in prop::collection::vec(any::<u8>(), 0..200)) {
        for format in [LogFormat::nginx(&format), LogFormat::apache(&format)].into_iter().flatten() {
            let _ = format.split(&line);
        }
        let _ = LogFormat::combined().split(&line);
    }

    /// What a line is built from is what it is cut into, quotes and backslashes escaped as servers do.
    #[test]
    fn a_line_is_cut_into_what_it_was_built_from(agent in "[ -~]{0,40}", status in 100u16..600) {
        let escaped = agent.replace('\\', "\\\\").replace('"', "\\\"");
        let line = format!("h - - [t] \"r\" {status} 1 \"-\" \"{escaped}\"");
        let format = LogFormat::combined();
        let fields = format.split(line.as_bytes()).expect("a combined line");
        prop_assert_eq!(text(&fields, FieldName::Header("user-agent")), escaped);
        prop_assert_eq!(text(&fields, FieldName::Status), status.to_string());
    }
}
