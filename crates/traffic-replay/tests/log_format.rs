//! Access-log formats, written as in the configurations of nginx and Apache.

use proptest::prelude::*;
use traffic_replay::*;

fn text(fields: &Fields<'_>, name: FieldName<'_>) -> String {
    String::from_utf8_lossy(fields.get(name).unwrap_or(b"(none)")).into_owned()
}

const COMBINED: &[u8] = br#"192.0.2.7 - siswa [10/Oct/2025:13:55:36 +0700] "GET /soal/7f3a?r=2 HTTP/1.1" 200 2326 "-" "Mozilla/5.0 (\"tablet\")""#;

#[test]
fn a_combined_line_is_split_into_its_fields() {
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
fn equivalent_nginx_and_apache_formats_split_lines_alike() {
    let nginx = LogFormat::nginx(
        r#"$remote_addr - $remote_user [$time_local] "$request" $status $body_bytes_sent "$http_referer" "${http_user_agent}""#,
    )
    .expect("nginx's combined");
    let nginx_fields = nginx.split(COMBINED).expect("fields");
    let apache = LogFormat::combined();
    let apache_fields = apache.split(COMBINED).expect("fields");
    for name in [
        FieldName::Client,
        FieldName::TimeLocal,
        FieldName::Request,
        FieldName::Header("user-agent"),
    ] {
        assert_eq!(text(&nginx_fields, name), text(&apache_fields, name));
    }
}

#[test]
fn durations_and_times_have_units() {
    let format = LogFormat::apache(r#"%{usec}t %{ms}T %D %T %m %U%% "%{X-Tenant}i" %{cookie}C"#)
        .expect("a format");
    let fields = format
        .split(br#"1760079336000000 12 12345 0 GET /soal% "smp-3" c"#)
        .expect("fields");
    assert_eq!(text(&fields, FieldName::TimeMicros), "1760079336000000");
    assert_eq!(text(&fields, FieldName::DurationMillis), "12");
    assert_eq!(text(&fields, FieldName::DurationMicros), "12345");
    assert_eq!(text(&fields, FieldName::DurationSeconds), "0");
    assert_eq!(text(&fields, FieldName::Path), "/soal");
    assert_eq!(text(&fields, FieldName::Header("x-tenant")), "smp-3");
    assert_eq!(text(&fields, FieldName::Other("{cookie}C")), "c");
}

/// A format may be copied from a configuration file with its escapes: `\"` is a quote in the line.
#[test]
fn an_apache_format_may_contain_escaped_quotes() {
    assert_eq!(
        LogFormat::apache(r#"%h \"%r\" %>s"#),
        LogFormat::apache(r#"%h "%r" %>s"#)
    );
}

#[test]
fn a_line_that_does_not_match_the_format_is_an_error_with_a_column() {
    let format = LogFormat::common();
    let error = |line: &[u8]| {
        format
            .split(line)
            .map(|_| ())
            .expect_err("a line that does not match")
            .to_string()
    };
    assert_eq!(error(b""), "column 1: expected ' '");
    assert_eq!(error(b"192.0.2.7 - - 10/Oct"), "column 21: expected ' '");
    let line = br#"h - - [10/Oct/2025:13:55:36 +0700] "GET / HTTP/1.1 200 7"#;
    assert_eq!(
        error(line),
        format!("column {}: expected '\"'", line.len() + 1)
    );
    let format = LogFormat::nginx("$status|").expect("a format");
    assert_eq!(
        format
            .split(b"200|x")
            .map(|_| ())
            .expect_err("too long")
            .to_string(),
        "column 5: expected the end of the line"
    );
}

#[test]
fn an_invalid_format_is_an_error_with_column_and_reason() {
    let rows = [
        ("nginx", "plain text", "column 11: format has no field"),
        (
            "nginx",
            "$status$request",
            "column 8: no literal text separates two adjacent fields",
        ),
        ("nginx", "a ${status", "column 3: '${' has no closing brace"),
        (
            "nginx",
            "$ x",
            "column 1: '$' is not followed by a valid variable name",
        ),
        (
            "apache",
            "%h %",
            "column 4: '%' is not followed by a directive",
        ),
        ("apache", "%{X-A", "column 1: '%{' has no closing brace"),
        (
            "apache",
            "%h %{%Y}t",
            "column 4: unknown directive, ending in 't'",
        ),
        (
            "apache",
            "%h %i",
            "column 4: unknown directive, ending in 'i'",
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
    fn arbitrary_formats_and_lines_do_not_panic(
        format in "[$%{}\"a-z_ <>!,0-9é-]{0,40}",
        line in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        for format in [LogFormat::nginx(&format), LogFormat::apache(&format)].into_iter().flatten() {
            let _ = format.split(&line);
        }
        let _ = LogFormat::combined().split(&line);
    }

    /// Splitting a line returns the values that it was built from, with quotes and backslashes
    /// escaped as servers escape them.
    #[test]
    fn splitting_a_line_returns_the_values_it_was_built_from(agent in "[ -~]{0,40}", status in 100u16..600) {
        let escaped = agent.replace('\\', "\\\\").replace('"', "\\\"");
        let line = format!("h - - [t] \"r\" {status} 1 \"-\" \"{escaped}\"");
        let format = LogFormat::combined();
        let fields = format.split(line.as_bytes()).expect("a combined line");
        prop_assert_eq!(text(&fields, FieldName::Header("user-agent")), escaped);
        prop_assert_eq!(text(&fields, FieldName::Status), status.to_string());
    }
}
