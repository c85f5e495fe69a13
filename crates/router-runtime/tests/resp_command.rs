//! Client commands: parsed the same however the input is split, rejected if oversized or malformed,
//! and encoded for a cache server.

mod support;

use bytes::{Bytes, BytesMut};
use proptest::collection::vec;
use proptest::prelude::*;
use redis_protocol::resp2::decode::decode_bytes;
use redis_protocol::resp2::types::BytesFrame;
use router_runtime::resp::{CHUNK_BYTES, Command, CommandReader, RespError};
use support::{encode_array, feed_in_chunks};

/// Limits of commands: the number of arguments, and the bytes of a name and of a header.
const MAX_ARGUMENTS: usize = 8;
const MAX_NAME_BYTES: usize = 32;
const MAX_HEADER_BYTES: usize = 24;

fn command_of(text: &[u8]) -> Result<Option<Vec<Bytes>>, RespError> {
    let frame = CommandReader::default().next(&mut BytesMut::from(text))?;
    Ok(frame.map(|frame| frame.arguments))
}

proptest! {
    /// Commands parse to what was encoded, however the bytes are split into reads.
    #[test]
    fn commands_parse_the_same_in_any_chunking(
        commands in vec(vec(vec(any::<u8>(), 0..=MAX_NAME_BYTES), 1..=MAX_ARGUMENTS), 1..5),
        chunk_sizes in vec(1_usize..40, 1..8),
    ) {
        let text: Vec<u8> = commands.iter().flat_map(|arguments| encode_array(arguments)).collect();
        let mut reader = CommandReader::default();
        let taken = feed_in_chunks(&text, &chunk_sizes, |buffer| reader.next(buffer)).unwrap();
        let taken: Vec<Vec<Vec<u8>>> =
            taken.iter().map(|frame| frame.arguments.iter().map(|argument| argument.to_vec()).collect()).collect();
        prop_assert_eq!(taken, commands);
    }

    /// Of arbitrary bytes, the reader accepts nothing that another RESP2 parser would reject or
    /// read differently.
    #[test]
    fn accepted_input_is_also_valid_resp2(
        text in "[*$0-9+:a-]{0,4}(\r\n)?[*$0-9a-z-]{0,6}(\r\n)?[$0-9a-z-]{0,6}(\r\n)?",
    ) {
        let library = decode_bytes(&Bytes::from(text.clone().into_bytes()));
        if let Ok(Some(arguments)) = command_of(text.as_bytes()) {
            let frame = arguments.into_iter().map(BytesFrame::BulkString).collect();
            prop_assert_eq!(library.unwrap().unwrap().0, BytesFrame::Array(frame));
        }
    }
}

/// A long value is read unchanged and in full chunks, and the bytes taken off the buffer can be
/// restored for a successor.
#[test]
fn a_long_value_is_read_in_full_chunks() {
    let value: Vec<u8> = (0..3 * CHUNK_BYTES + 17)
        .map(|number| number as u8)
        .collect();
    let arguments = [&b"C.SET"[..], b"k", b"id", b"c=put,d=5", &value].map(<[u8]>::to_vec);
    let text = encode_array(&arguments);
    for chunk_size in [1_000, 4_096, 65_536, 200_000] {
        let mut reader = CommandReader::default();
        let mut buffer = BytesMut::new();
        let mut frames = Vec::new();
        for chunk in text.chunks(chunk_size) {
            buffer.extend_from_slice(chunk);
            frames.extend(reader.next(&mut buffer).unwrap());
        }
        let [frame] = &frames[..] else {
            panic!("{} frames", frames.len());
        };
        assert_eq!(frame.arguments, arguments[..4]);
        assert!(
            frame.long_value.concat() == value,
            "chunks of {chunk_size} bytes"
        );
        let is_full = |chunk: &Bytes| chunk.len() == CHUNK_BYTES;
        assert!(frame.long_value[..3].iter().all(is_full));
        let encoded = Command::new(frame.clone()).unwrap().encode(5);
        let sent = [
            &encoded.head[..],
            &encoded.long_value.concat(),
            &b"\r\n"[..],
        ]
        .concat();
        assert!(sent == text, "chunks of {chunk_size} bytes");
    }
    let mut reader = CommandReader::default();
    let mut buffer = BytesMut::from(&text[..2 * CHUNK_BYTES + 300]);
    assert_eq!(reader.next(&mut buffer), Ok(None));
    assert_eq!(reader.held_bytes(), 2 * CHUNK_BYTES);
    let unread = [reader.into_unread().concat(), buffer.to_vec()].concat();
    assert!(unread == text[..2 * CHUNK_BYTES + 300]);
}

#[test]
fn oversized_and_malformed_commands_are_rejected_early() {
    let assert_too_large = |text: &str| {
        assert_eq!(
            command_of(text.as_bytes()),
            Err(RespError::TooLarge),
            "{text}"
        )
    };
    assert_too_large("*9\r\n");
    assert_too_large("*99999999999999999999999\r\n");
    assert_too_large("*1\r\n$33\r\n");
    assert_too_large("*2\r\n$5\r\nC.GET\r\n$60000000\r\n");
    assert_too_large("*5\r\n$5\r\nC.GET\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nf\r\n$65\r\n");
    assert_too_large("*5\r\n$5\r\nC.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nf\r\n$4194305\r\n");
    assert_too_large(&format!("*{}", "1".repeat(MAX_HEADER_BYTES)));
    let assert_malformed = |text: &str| {
        assert_eq!(
            command_of(text.as_bytes()),
            Err(RespError::Malformed),
            "{text}"
        )
    };
    assert_malformed("GET x\r\n");
    assert_malformed("*0\r\n");
    assert_malformed("*-1\r\n");
    assert_malformed("*+1\r\n");
    assert_malformed("*1\r\n*1\r\n");
    assert_malformed("*1\r\n$-1\r\n");
    assert_malformed("*1\r\n$-7\r\n");
    assert_malformed("*1\r\n$3\r\nabcde\r\n");
}

#[test]
fn commands_with_invalid_arguments_or_fields_are_rejected() {
    let new = |arguments: [&str; 4]| {
        Command::new(
            arguments
                .map(|argument| Bytes::from(argument.to_string()))
                .to_vec(),
        )
    };
    assert!(new(["C.GET", "k", "id", "c=read,d=5"]).is_ok());
    for fields in [
        "",
        "c",
        "c=",
        "=read",
        "c=read,",
        ",c=read",
        "c=read,c=read",
        "c=re ad",
        "c=r\u{e9}ad",
    ] {
        assert!(new(["C.GET", "k", "id", fields]).is_err(), "{fields}");
    }
    for id in ["", "a b", "a\r\n", "\u{7f}", "\u{e9}"] {
        assert!(new(["C.GET", "k", id, "c=read"]).is_err(), "{id:?}");
    }
    for (text, number) in [("0", 0), ("17", 17), ("99999999999999999999999", u64::MAX)] {
        let command = new(["C.GET", "k", "id", &format!("c=read,d={text}")]).unwrap();
        assert_eq!(command.number("d"), Some(Ok(number)));
    }
    for text in ["-1", "+1", "1.5", "1e3", "0x1", "soon"] {
        let command = new(["C.GET", "k", "id", &format!("c=read,d={text}")]).unwrap();
        assert!(command.number("d").unwrap().is_err(), "{text}");
    }
}

#[test]
fn encoding_changes_only_the_timeout_field() {
    let arguments = ["C.SET", "k1", "id1", "c=put,t=acme,d=480,k=5c0f", "v"]
        .map(Bytes::from)
        .to_vec();
    let command = Command::new(arguments).unwrap();
    let sent = String::from_utf8(command.encode(31).head).unwrap();
    assert_eq!(
        sent,
        "*5\r\n$5\r\nC.SET\r\n$2\r\nk1\r\n$3\r\nid1\r\n$24\r\nc=put,t=acme,d=31,k=5c0f\r\n$1\r\nv\r\n"
    );
}

/// Guards against input that is parsed wrongly after the value of a write has been given up.
#[test]
fn a_discarded_value_leaves_its_command_and_the_next_one_intact() {
    for value_bytes in [5_000, CHUNK_BYTES, 3 * CHUNK_BYTES + 17] {
        let value = vec![b'v'; value_bytes];
        let arguments = [&b"C.SET"[..], b"k", b"id", b"c=put,d=5", &value].map(<[u8]>::to_vec);
        let text = encode_array(&arguments);
        for discarded_at in [200, value_bytes / 2, text.len() - 1] {
            let mut reader = CommandReader::default();
            let mut buffer = BytesMut::from(&text[..discarded_at]);
            assert_eq!(reader.next(&mut buffer), Ok(None));
            assert_eq!(reader.write_fields(&buffer), Some("c=put,d=5"));
            reader.discard_value();
            assert_eq!(reader.held_bytes(), 0);
            buffer.extend_from_slice(&text[discarded_at..]);
            buffer.extend_from_slice(&text);
            let frame = reader.next(&mut buffer).unwrap().expect("no command");
            assert!(frame.is_value_discarded && frame.long_value.is_empty());
            assert!(frame.arguments == arguments[..4]);
            let command = Command::new(frame).expect("no write");
            assert!(command.is_write() && command.is_value_discarded());
            let next = reader.next(&mut buffer).unwrap().expect("no next command");
            assert!(!next.is_value_discarded);
            assert!(!Command::new(next).unwrap().is_value_discarded());
        }
    }
}
