//! The incremental reader of endpoint lists: layout, chunking, field names and errors.

use proptest::collection::vec;
use proptest::prelude::*;
use router_runtime::EndpointList;
use router_runtime::endpoint_list::{EndpointListReader, ListError};

/// Maximum length of a list, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// A list with server names that contain braces and quotation marks.
fn list(version: u64, hosts: usize) -> EndpointList {
    let host = |number: usize| {
        serde_json::json!({
            "host": format!("s-{number}}}\"{{"),
            "dial": format!("10.0.0.1:{number}"),
            "site": null,
            "class": "m",
            "block": 1,
            "health": "up",
            "share": 1.0,
            "born_ms": 0,
        })
    };
    let hosts: Vec<serde_json::Value> = (0..hosts).map(host).collect();
    let list = serde_json::json!({ "seq": version, "whole": true, "hosts": hosts });
    serde_json::from_value(list).expect("a list")
}

/// Reads the lists of a text that arrives in chunks. `cuts` are the lengths of the chunks, in a
/// cycle.
fn read(text: &str, cuts: &[usize]) -> Result<Vec<String>, ListError> {
    let mut reader = EndpointListReader::default();
    let mut taken = Vec::new();
    let mut rest = text.as_bytes();
    for cut in cuts.iter().cycle() {
        let (piece, after) = rest.split_at(rest.len().min(*cut));
        reader.feed(piece);
        while let Some(list) = reader.next_list()? {
            taken.push(serde_json::to_string(&list).expect("written"));
        }
        rest = after;
        if rest.is_empty() {
            break;
        }
    }
    assert!(!reader.has_partial_list());
    Ok(taken)
}

proptest! {
    /// Lists are read correctly in any layout, wherever they are split.
    #[test]
    fn lists_are_read_in_any_layout_and_chunking(
        sizes in vec((0_usize..4, any::<bool>(), "[ \r\n\t]{0,3}"), 1..5),
        cuts in vec(1_usize..40, 1..8),
    ) {
        let (mut text, mut expected) = (String::new(), Vec::new());
        for (version, (hosts, is_indented, space)) in sizes.into_iter().enumerate() {
            let list = list(version as u64, hosts);
            let write = match is_indented {
                true => serde_json::to_string_pretty,
                false => serde_json::to_string,
            };
            text += &format!("{}{space}", write(&list).expect("written"));
            expected.push(serde_json::to_string(&list).expect("written"));
        }
        text.push('\n');
        prop_assert_eq!(read(&text, &cuts).expect("lists"), expected);
    }
}

#[test]
fn fields_keep_their_names_and_order() {
    assert_eq!(
        serde_json::to_string(&list(7, 1)).expect("written"),
        concat!(
            r#"{"seq":7,"whole":true,"hosts":[{"host":"s-0}\"{","dial":"10.0.0.1:0","site":null,"#,
            r#""class":"m","block":1,"health":"up","share":1.0,"born_ms":0}]}"#
        )
    );
}

#[test]
fn malformed_lists_are_rejected_with_a_message_of_one_line() {
    for text in [
        "what?\n",
        "[]\n",
        "7\n",
        "{\"seq\":true}\n",
        "{\"seq\":1,\n{\"seq\":2}\n",
        "{}\n",
    ] {
        let problem = read(text, &[3]).expect_err(text).to_string();
        assert!(
            problem.starts_with("malformed list: ") && !problem.contains('\n'),
            "{problem}"
        );
    }
}

#[test]
fn the_length_of_an_incomplete_list_is_bounded() {
    let mut reader = EndpointListReader::default();
    reader.feed(b"{\"seq\":1,\"hosts\":[");
    let fed = (0..).find(|_| {
        reader.feed(&[b' '; 64 * 1024]);
        reader.next_list().is_err()
    });
    assert_eq!(fed, Some(MAX_LIST_BYTES / (64 * 1024) - 1));
}
