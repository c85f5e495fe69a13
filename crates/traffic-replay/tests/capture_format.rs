//! The stored form of captures: files of earlier versions are readable, and the same items give the
//! same bytes.

use traffic_replay::*;

/// A capture of three items, written by version 0.2.0.
const CAPTURE_HEX: &str = concat!(
    // The magic line.
    "6173746572706f72742d6361707475726520310a",
    // The header: length 24, checksum, kind 1, payload.
    "1800000055128b1701",
    "ffffda85b4e79b060205612e6c6f6708622e6c6f672e677a",
    // The items: length 133, checksum, kind 2, payload.
    "850000005986555602",
    "000000000a616d62696c2d736f616c0437663361000000000000",
    "fa010101010d6b6972696d2d6a61776162616e10396231663033616135633765326434310105736d702d3301",
    "e05d01880e01103563306636653161326233643463353901c90101c49001",
    "80f8cce2840200000002c3a90001000001ffffffffffffffffff010001ffff0300",
    // The summary: length 23, checksum, kind 3, payload.
    "170000006ff240ea03",
    "03020a6261642073746174757301076e6f2074696d6502",
);

fn capture_bytes() -> Vec<u8> {
    let digits = CAPTURE_HEX.as_bytes().chunks(2);
    digits
        .map(|pair| {
            let text = std::str::from_utf8(pair).expect("hex digits");
            u8::from_str_radix(text, 16).expect("hex digits")
        })
        .collect()
}

fn header() -> Header {
    Header {
        start_us: -1_750_000_000_000_000,
        sources: vec!["a.log".into(), "b.log.gz".into()],
    }
}

/// An item without optional fields, one with all of them, and one with numbers at their limits.
fn items() -> [Item; 3] {
    let smallest = Item {
        class: "ambil-soal".into(),
        key: "7f3a".into(),
        ..Item::default()
    };
    let full = Item {
        at_us: 250,
        source: 1,
        write: true,
        retry: true,
        class: "kirim-jawaban".into(),
        key: "9b1f03aa5c7e2d41".into(),
        tenant: Some("smp-3".into()),
        cost_hint_us: Some(12_000),
        size: Some(1_800),
        idempotency_key: Some("5c0f6e1a2b3d4c59".into()),
        status: Some(201),
        latency_us: Some(18_500),
    };
    let extreme = Item {
        at_us: 70_000_000_000,
        class: "é".into(),
        tenant: Some(String::new()),
        size: Some(u64::MAX),
        status: Some(u16::MAX),
        ..Item::default()
    };
    [smallest, full, extreme]
}

fn summary() -> Summary {
    Summary {
        items: 3,
        malformed: [("bad status".to_string(), 1), ("no time".to_string(), 2)].into(),
    }
}

#[test]
fn a_capture_of_an_earlier_version_is_readable() {
    let mut reader = CaptureReader::default();
    reader.feed(&capture_bytes());
    let mut parts = Vec::new();
    while let Some(part) = reader.next().expect("a whole capture") {
        parts.push(part);
    }
    let mut expected = vec![CapturePart::Header(header())];
    expected.extend(items().map(CapturePart::Item));
    expected.push(CapturePart::Summary(summary()));
    assert_eq!(parts, expected);
    assert_eq!(reader.finish(), Ok(()));
}

#[test]
fn the_same_items_give_the_same_bytes() {
    let mut writer = CaptureWriter::new(header()).expect("a header");
    for item in items() {
        writer.push(&item).expect("a valid item");
    }
    for kind in ["no time", "no time", "bad status"] {
        writer.count_malformed(kind);
    }
    assert_eq!(writer.finish(), capture_bytes());
}

/// Length and checksum of a capture with several blocks change if the block boundaries move.
#[test]
fn block_boundaries_are_those_of_earlier_versions() {
    let mut writer = CaptureWriter::new(Header {
        start_us: 1,
        sources: vec!["s".into()],
    })
    .expect("a header");
    for i in 0..9_000 {
        let item = Item {
            at_us: i * 3,
            class: "c".into(),
            key: format!("{:x}", i * 31),
            ..Item::default()
        };
        writer.push(&item).expect("a valid item");
    }
    let bytes = writer.finish();
    assert_eq!(bytes.len(), 172_309);
    assert_eq!(crc32c::crc32c(&bytes), 0xad8a_21d2);
}
