//! Replies of cache servers: parsed the same however the input is split, with their load report in
//! each kind of reply.

mod support;

use bytes::{Bytes, BytesMut};
use proptest::collection::vec;
use proptest::prelude::*;
use router_runtime::resp::{Reply, ReplyReader, RespError};
use support::{encode_array, feed_in_chunks};

fn reply_of(text: &[u8]) -> Result<Option<Reply>, RespError> {
    ReplyReader::default().next(&mut BytesMut::from(text))
}

proptest! {
    /// Splitting the input changes neither whether a reply is valid nor its contents.
    #[test]
    fn replies_parse_the_same_in_any_chunking(
        value in vec(any::<u8>(), 0..200),
        corrupted_byte in any::<Option<(usize, u8)>>(),
        chunk_sizes in vec(1_usize..40, 1..8),
    ) {
        let mut text = encode_array(&[value, b"hit".to_vec(), b"util=0.5".to_vec()]);
        if let Some((index, byte)) = corrupted_byte {
            let index = index % text.len();
            text[index] = byte;
        }
        let whole = reply_of(&text);
        let mut reader = ReplyReader::default();
        let mut first = None;
        let chunks = feed_in_chunks(&text, &chunk_sizes, |buffer| {
            Ok(if first.is_none() { first = reader.next(buffer)?; None::<()> } else { None })
        });
        match whole {
            Err(error) => prop_assert_eq!(chunks, Err(error)),
            Ok(whole) => prop_assert_eq!(first, whole),
        }
    }
}

#[test]
fn load_reports_are_found_in_every_kind_of_reply() {
    let report = |text: &[u8]| match reply_of(text) {
        Ok(Some(Reply::Served { report, .. } | Reply::Failed(report) | Reply::Busy(report))) => {
            report
        }
        other => panic!("no complete reply: {other:?}"),
    };
    let util = Some(Bytes::from_static(b"util=0.5,queue=2"));
    let served = encode_array(&[b"v".to_vec(), b"hit".to_vec(), b"util=0.5,queue=2".to_vec()]);
    assert_eq!(report(&served), util);
    assert_eq!(report(b"-ERR failed util=0.5,queue=2\r\n"), util);
    assert_eq!(report(b"-BUSY util=0.5,queue=2\r\n"), util);
    assert_eq!(report(b"-BUSY\r\n"), None);
    assert_eq!(report(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n"), None);
}
