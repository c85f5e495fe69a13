//! Captures are read as they were written, and damage is reported with its offset.

use proptest::prelude::*;
use traffic_replay::*;

fn header() -> Header {
    Header {
        start_us: 1_750_000_000_000_000,
        sources: vec!["a.log".into(), "b.log.gz".into()],
    }
}

fn item(at_us: u64) -> Item {
    Item {
        at_us,
        class: "ambil-soal".into(),
        key: format!("{:x}", at_us * 31),
        ..Item::default()
    }
}

fn capture(items: &[Item]) -> Vec<u8> {
    let mut writer = CaptureWriter::new(header()).expect("a header");
    for item in items {
        writer.push(item).expect("a valid item");
    }
    writer.count_malformed("no time");
    writer.finish()
}

/// Items up to the end or the first error of a capture that is fed in chunks, and the final result.
fn read(bytes: &[u8], chunk_bytes: usize) -> (Vec<Item>, Result<Option<Summary>, CaptureError>) {
    let mut reader = CaptureReader::default();
    let mut items = Vec::new();
    let mut summary = None;
    for bytes in bytes.chunks(chunk_bytes) {
        reader.feed(bytes);
        loop {
            match reader.next() {
                Ok(None) => break,
                Ok(Some(CapturePart::Header(read))) => assert_eq!(read, header()),
                Ok(Some(CapturePart::Item(item))) => items.push(item),
                Ok(Some(CapturePart::Summary(end))) => summary = Some(end),
                Err(error) => return (items, Err(error)),
            }
        }
    }
    let end = reader.finish().map(|()| summary);
    (items, end)
}

fn any_item() -> impl Strategy<Value = Item> {
    let texts = (
        "[a-z-]{0,20}",
        "\\PC{0,40}",
        any::<Option<bool>>(),
        any::<Option<u64>>(),
        any::<Option<u16>>(),
    );
    let rest = (
        0..1_000_000u64,
        0..2u16,
        any::<bool>(),
        any::<bool>(),
        any::<Option<u64>>(),
    );
    (texts, rest).prop_map(
        |((class, key, tenant, size, status), (at_us, source, write, retry, latency_us))| Item {
            at_us,
            source,
            write,
            retry,
            tenant: tenant.map(|name| name.to_string()),
            cost_hint_us: size,
            size,
            idempotency_key: write.then(|| key.clone()),
            status,
            latency_us,
            class,
            key,
        },
    )
}

proptest! {
    #[test]
    fn a_capture_reads_back_as_it_was_written(
        mut items in prop::collection::vec(any_item(), 0..60),
        chunk_bytes in 1usize..3_000,
    ) {
        items.sort_by_key(|item| item.at_us);
        let (read, end) = read(&capture(&items), chunk_bytes);
        prop_assert_eq!(read, items.clone());
        let end = end.expect("a whole capture").expect("an end");
        prop_assert_eq!(end.items, items.len() as u64);
        prop_assert_eq!(end.malformed.get("no time"), Some(&1));
    }

    /// Guards against panics and unbounded memory on files that are not captures, with or without a
    /// valid first line.
    #[test]
    fn random_bytes_are_an_error_and_no_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..2_000),
        has_magic in any::<bool>(),
        chunk_bytes in 1usize..500,
    ) {
        let bytes = if has_magic { [b"asterport-capture 1\n".to_vec(), bytes].concat() } else { bytes };
        let (items, end) = read(&bytes, chunk_bytes);
        prop_assert!(items.is_empty());
        prop_assert!(end.is_err());
    }
}

/// Guards captures whose writer was killed: items of whole blocks are returned, and the truncation
/// is reported.
#[test]
fn a_capture_truncated_anywhere_yields_its_complete_blocks_and_an_error() {
    let items: Vec<Item> = (0..40).map(item).collect();
    let whole = capture(&items);
    for end in 0..whole.len() {
        let (read, result) = read(&whole[..end], 1_000);
        assert!(
            read.len() == items.len() || read.is_empty(),
            "only whole blocks are read, truncated at {end}"
        );
        let expected = if end == 0 {
            CaptureError::NotACapture
        } else {
            CaptureError::Truncated {
                items: read.len() as u64,
            }
        };
        assert_eq!(result, Err(expected), "truncated at {end}");
    }
}

#[test]
fn several_blocks_are_read_and_truncation_loses_only_the_last() {
    let items: Vec<Item> = (0..10_000).map(item).collect();
    let whole = capture(&items);
    assert_eq!(read(&whole, 4_096).0, items);
    let (some, result) = read(&whole[..whole.len() * 2 / 3], 4_096);
    assert!(some.len() > 3_000 && some.len() < 7_000, "{}", some.len());
    assert_eq!(some, items[..some.len()]);
    assert_eq!(
        result,
        Err(CaptureError::Truncated {
            items: some.len() as u64
        })
    );
}

/// Guards against undetected damage: one flipped bit anywhere is an error.
#[test]
fn a_flipped_bit_anywhere_is_detected() {
    let whole = capture(&(0..8).map(item).collect::<Vec<_>>());
    for at in 0..whole.len() {
        for bit in 0..8 {
            let mut bytes = whole.clone();
            bytes[at] ^= 1 << bit;
            let (_, result) = read(&bytes, 1_000);
            assert!(result.is_err(), "bit {bit} of byte {at}");
        }
    }
}

#[test]
fn a_newer_version_is_rejected_by_its_first_line() {
    let error = read(b"asterport-capture 2\npayload", 7)
        .1
        .expect_err("a newer version");
    assert_eq!(
        error.to_string(),
        "unsupported capture format version: 'asterport-capture 2'"
    );
    let error = read(b"asterport-capture 1, with\x1b[31m more\n", 7)
        .1
        .expect_err("another line");
    assert!(!error.to_string().contains('\x1b'), "{error}");
}

/// Guards memory: a payload length over the limit is rejected before the payload is buffered.
#[test]
fn an_oversized_block_is_rejected_at_its_header() {
    let mut bytes = b"asterport-capture 1\n".to_vec();
    bytes.extend(u32::MAX.to_le_bytes());
    bytes.extend([0; 5]);
    assert_eq!(
        read(&bytes, 1_000).1,
        Err(CaptureError::BlockTooLong {
            offset: 20,
            bytes: u32::MAX
        })
    );
}

#[test]
fn bytes_after_the_end_are_an_error() {
    let mut bytes = capture(&[item(1)]);
    let offset = bytes.len() as u64;
    bytes.push(b'x');
    let (items, result) = read(&bytes, 1_000);
    assert_eq!(
        (items.len(), result),
        (1, Err(CaptureError::TrailingBytes { offset }))
    );
}

#[test]
fn bytes_after_the_end_are_an_error_for_a_reader_that_stops_at_the_summary() {
    let mut bytes = capture(&[]);
    let offset = bytes.len() as u64;
    bytes.extend(b"xy");
    let mut reader = CaptureReader::default();
    reader.feed(&bytes);
    assert!(matches!(reader.next(), Ok(Some(CapturePart::Header(_)))));
    assert!(matches!(reader.next(), Ok(Some(CapturePart::Summary(_)))));
    assert_eq!(reader.finish(), Err(CaptureError::TrailingBytes { offset }));
}

/// Guards later readers: a writer accepts no item that a reader would reject, and stays usable.
#[test]
fn an_invalid_item_is_rejected_and_leaves_the_capture_usable() {
    let mut writer = CaptureWriter::new(header()).expect("a header");
    writer.push(&item(10)).expect("a valid item");
    let long = Item {
        key: "k".repeat(1_025),
        ..item(11)
    };
    assert_eq!(
        writer.push(&long),
        Err(CaptureError::TooLong {
            what: "key",
            bytes: 1_025,
            limit: 1_024
        })
    );
    assert_eq!(
        writer.push(&item(9)),
        Err(CaptureError::OutOfOrder {
            at_us: 9,
            after_us: 10
        })
    );
    let unknown_source = Item {
        source: 2,
        ..item(12)
    };
    assert_eq!(
        writer.push(&unknown_source),
        Err(CaptureError::UnknownSource { source_index: 2 })
    );
    writer.push(&item(10)).expect("an equal time is in order");
    let (items, end) = read(&writer.finish(), 1_000);
    assert_eq!(items, [item(10), item(10)]);
    assert_eq!(end.expect("a whole capture").expect("an end").items, 2);
}

/// Guards memory: the number of kinds of malformed items is bounded, and every item is counted.
#[test]
fn kinds_of_malformed_items_are_bounded_and_all_items_are_counted() {
    let mut summary = Summary::default();
    for i in 0..10_000 {
        summary.count_malformed(&format!("kind {i}"));
    }
    assert_eq!(summary.malformed.len(), 256);
    assert_eq!(summary.malformed.values().sum::<u64>(), 10_000);
}
