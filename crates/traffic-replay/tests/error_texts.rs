//! The words of errors that operators read.

use traffic_replay::*;

#[test]
fn a_capture_error_names_place_and_reason() {
    let rows = [
        (
            CaptureError::NotACapture,
            "this is no capture: its first line is another",
        ),
        (
            CaptureError::UnsupportedVersion("asterport-capture 2".into()),
            "'asterport-capture 2' is not a version that this program reads",
        ),
        (
            CaptureError::BlockTooLong {
                offset: 20,
                bytes: 600_000,
            },
            "the block at byte 20 claims 600000 bytes; none has over 524288",
        ),
        (
            CaptureError::ChecksumMismatch { offset: 20 },
            "the block at byte 20 does not match its checksum",
        ),
        (
            CaptureError::MalformedBlock { offset: 20 },
            "the block at byte 20 cannot be read",
        ),
        (
            CaptureError::Truncated { items: 7 },
            "the capture was cut off after 7 items",
        ),
        (
            CaptureError::TrailingBytes { offset: 99 },
            "from byte 99 on something follows the end",
        ),
        (
            CaptureError::CountMismatch {
                items: 7,
                summary_items: 8,
            },
            "the capture holds 7 items and counts 8",
        ),
        (
            CaptureError::TooLong {
                what: "key",
                bytes: 1_025,
                limit: 1_024,
            },
            "a key of 1025 bytes is longer than 1024",
        ),
        (
            CaptureError::TooMany {
                what: "sources",
                limit: 256,
            },
            "there are more than 256 sources",
        ),
        (
            CaptureError::UnknownSource { source_index: 2 },
            "source 2 is not in the header",
        ),
        (
            CaptureError::OutOfOrder {
                at_us: 9,
                after_us: 10,
            },
            "an item at 9 us stands behind one at 10 us",
        ),
    ];
    for (error, text) in rows {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn a_format_past_its_bounds_names_them() {
    let long = "a".repeat(4_097);
    let error = LogFormat::nginx(&long).expect_err("too long");
    assert_eq!(
        error.to_string(),
        "log format, column 1: longer than 4,096 bytes"
    );
    let many = "$status ".repeat(65);
    let error = LogFormat::nginx(&many).expect_err("too many fields");
    assert_eq!(
        error.to_string(),
        "log format, column 513: more than 64 fields"
    );
}
