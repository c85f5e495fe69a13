//! Messages are decoded as they were encoded, and invalid bytes are rejected with the cause.

mod support;

use hot_restart::message::{
    FRAME_HEADER_BYTES, FrameHeader, FramePieces, MAX_BODY_BYTES, Message, MessageError, VERSION,
};
use proptest::collection::vec;
use proptest::prelude::*;
use support::state;

fn message() -> Message {
    Message::State {
        version: VERSION,
        name: "n1".into(),
        state: state(),
    }
}

#[test]
fn a_message_truncated_at_any_byte_is_rejected() {
    let bytes = message().encode().expect("short enough");
    assert_eq!(Message::decode(&bytes), Ok(message()));
    for length in 0..bytes.len() {
        assert_eq!(
            Message::decode(&bytes[..length]),
            Err(MessageError::Truncated),
            "{length}"
        );
    }
}

#[test]
fn another_version_or_router_is_rejected_with_its_value() {
    let other = |version, name: &str| Message::State {
        version,
        name: name.into(),
        state: state(),
    };
    assert_eq!(other(VERSION, "n1").into_state("n1"), Ok(state()));
    assert_eq!(
        other(VERSION + 1, "n1").into_state("n1"),
        Err(MessageError::OtherVersion(VERSION + 1))
    );
    assert_eq!(
        other(VERSION, "n2").into_state("n1"),
        Err(MessageError::OtherRouter("n2".into()))
    );
    assert_eq!(
        Message::SuccessorServes.into_state("n1"),
        Err(MessageError::Unexpected)
    );
    let hello = |version, name: &str| {
        Message::Hello {
            version,
            name: name.into(),
        }
        .check_hello("n1")
    };
    assert_eq!(hello(VERSION, "n1"), Ok(()));
    assert_eq!(hello(0, "n1"), Err(MessageError::OtherVersion(0)));
    assert_eq!(
        hello(VERSION, "n\n"),
        Err(MessageError::OtherRouter("n\n".into()))
    );
    assert_eq!(
        MessageError::OtherRouter("n\n".into())
            .to_string()
            .lines()
            .count(),
        1
    );
}

#[test]
fn a_message_over_the_maximum_length_is_neither_encoded_nor_decoded() {
    let long = Message::Connection {
        unread: vec![0; MAX_BODY_BYTES].into(),
        has_sent_command: true,
    };
    assert!(matches!(long.encode(), Err(MessageError::TooLong(_))));
    let mut header = [0; FRAME_HEADER_BYTES];
    header[..4].copy_from_slice(&(MAX_BODY_BYTES as u32 + 1).to_le_bytes());
    assert_eq!(
        FrameHeader::decode(header),
        Err(MessageError::TooLong(MAX_BODY_BYTES + 1))
    );
}

proptest! {
    /// Corrupted bytes are rejected, and arbitrary bytes cause no panic.
    #[test]
    fn corrupted_bytes_are_rejected(
        position in 0_usize..1_000,
        bit in 0_u8..8,
        noise in vec(any::<u8>(), 0..200),
    ) {
        let mut bytes = message().encode().expect("short enough");
        let position = FRAME_HEADER_BYTES + position % (bytes.len() - FRAME_HEADER_BYTES);
        bytes[position] ^= 1 << bit;
        prop_assert_eq!(Message::decode(&bytes), Err(MessageError::ChecksumMismatch));
        prop_assert!(Message::decode(&noise).is_err());
    }
}

/// The bytes that one process sends are those that another version of it expects.
#[test]
fn a_connection_in_pieces_is_encoded_like_one_in_one_piece() {
    let pieces = [70_000, 1, 300].map(|length| bytes::Bytes::from(vec![b'u'; length]));
    let message = Message::Connection {
        unread: hot_restart::Unread(pieces.into()),
        has_sent_command: true,
    };
    let frame = FramePieces::of(&message).expect("short enough").0.concat();
    assert!(frame == message.encode().expect("short enough"));
    assert!(Message::decode(&frame) == Ok(message.clone()));
    let (header, body) = frame.split_first_chunk().expect("a header");
    let header = FrameHeader::decode(*header).expect("a header");
    let body = |size: usize| {
        body.chunks(size)
            .map(bytes::Bytes::copy_from_slice)
            .collect()
    };
    for size in [1, 2, 1_000, 70_000, 80_000] {
        let decoded = FramePieces::decode_body(body(size), header.checksum);
        assert!(decoded.as_ref() == Ok(&message), "pieces of {size} bytes");
    }
    assert_eq!(
        FramePieces::decode_body(body(1_000), header.checksum ^ 1),
        Err(MessageError::ChecksumMismatch)
    );
}
