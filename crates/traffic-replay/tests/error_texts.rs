//! Texts of the errors that operators read.

use traffic_replay::*;

#[test]
fn a_capture_error_names_offset_and_reason() {
    let rows = [
        (
            CaptureError::NotACapture,
            "not a capture: the first line does not name the capture format",
        ),
        (
            CaptureError::UnsupportedVersion("asterport-capture 2".into()),
            "unsupported capture format version: 'asterport-capture 2'",
        ),
        (
            CaptureError::BlockTooLong {
                offset: 20,
                bytes: 600_000,
            },
            "block at byte 20: payload length of 600000 bytes exceeds the limit of 524288",
        ),
        (
            CaptureError::ChecksumMismatch { offset: 20 },
            "block at byte 20: checksum mismatch",
        ),
        (
            CaptureError::MalformedBlock { offset: 20 },
            "block at byte 20: malformed payload or unexpected block kind",
        ),
        (
            CaptureError::Truncated { items: 7 },
            "the capture is truncated after 7 items",
        ),
        (
            CaptureError::TrailingBytes { offset: 99 },
            "unexpected bytes after the end of the capture, from byte 99",
        ),
        (
            CaptureError::CountMismatch {
                items: 7,
                summary_items: 8,
            },
            "the capture contains 7 items, but its summary counts 8",
        ),
        (
            CaptureError::TooLong {
                what: "key",
                bytes: 1_025,
                limit: 1_024,
            },
            "key of 1025 bytes exceeds the limit of 1024 bytes",
        ),
        (
            CaptureError::TooMany {
                what: "sources",
                limit: 256,
            },
            "too many sources: the limit is 256",
        ),
        (
            CaptureError::UnknownSource { source_index: 2 },
            "source index 2 is not in the header",
        ),
        (
            CaptureError::OutOfOrder {
                at_us: 9,
                after_us: 10,
            },
            "item at 9 us follows an item at 10 us",
        ),
    ];
    for (error, text) in rows {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn a_format_that_exceeds_a_limit_names_the_limit() {
    let long = "a".repeat(4_097);
    let error = LogFormat::nginx(&long).expect_err("too long");
    assert_eq!(
        error.to_string(),
        "log format, column 1: format exceeds the limit of 4096 bytes"
    );
    let many = "$status ".repeat(65);
    let error = LogFormat::nginx(&many).expect_err("too many fields");
    assert_eq!(
        error.to_string(),
        "log format, column 513: format has more than 64 fields"
    );
}
