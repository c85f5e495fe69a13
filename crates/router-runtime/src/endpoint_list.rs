//! Discovery's form: lists, and the reader that takes them from a watch's answer. Free of I/O.
//!
//! An answer holds one JSON object after another, with space between them as it comes: an object may stand on one line or on
//! many, and be cut anywhere. Guards against an object that never ends: see [`Lists::is_midway`].

use bytes::{Buf, BytesMut};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A longer object is no list of any fleet, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// A list, or the changes to one, as discovery writes it.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct EndpointList {
    pub(crate) seq: u64,
    #[serde(default)]
    pub(crate) whole: bool,
    #[serde(default)]
    pub(crate) hosts: Vec<Host>,
}

impl EndpointList {
    /// How many entries it has.
    pub fn servers(&self) -> usize {
        self.hosts.len()
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Host {
    pub(crate) host: String,
    pub(crate) dial: SocketAddr,
    #[serde(default)]
    pub(crate) site: Option<String>,
    #[serde(default)]
    pub(crate) class: Option<String>,
    #[serde(default)]
    pub(crate) block: u64,
    pub(crate) health: Health,
    #[serde(default = "usual_share")]
    pub(crate) share: f64,
    #[serde(default)]
    pub(crate) born_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Health {
    Up,
    Draining,
    Removed,
}

fn usual_share() -> f64 {
    1.0
}

/// Why the rest of an answer cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// An object is longer than any list.
    #[error("a list of more than {MAX_LIST_BYTES} bytes")]
    TooLong,
    /// An object is no list: what is wrong, and where.
    #[error("malformed list: {0}")]
    Malformed(#[source] serde_json::Error),
    /// What came is no object: its first byte.
    #[error("malformed list: begins with '{}'", .0.escape_ascii())]
    NoObject(u8),
}

/// What has come of an answer and is not read yet.
#[derive(Debug, Default)]
pub struct Lists {
    bytes: BytesMut,
    /// An object may have come whole since it was last looked for.
    may_be_whole: bool,
}

impl Lists {
    /// More has come.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
        self.may_be_whole |= bytes.contains(&b'}');
    }

    /// The next list that has come whole, if there is one.
    ///
    /// # Errors
    /// When what came is no list. Nothing more can be told apart then.
    pub fn next(&mut self) -> Result<Option<EndpointList>, ListError> {
        let space = self
            .bytes
            .iter()
            .take_while(|byte| byte.is_ascii_whitespace())
            .count();
        self.bytes.advance(space);
        match self.bytes.first() {
            Some(b'{') => {}
            Some(&byte) => return Err(ListError::NoObject(byte)),
            None => return Ok(None),
        }
        if self.may_be_whole {
            let mut objects =
                serde_json::Deserializer::from_slice(&self.bytes).into_iter::<EndpointList>();
            match objects.next() {
                Some(Ok(list)) => {
                    let end = objects.byte_offset();
                    self.bytes.advance(end);
                    return Ok(Some(list));
                }
                Some(Err(error)) if !error.is_eof() => return Err(ListError::Malformed(error)),
                _ => self.may_be_whole = false,
            }
        }
        if self.bytes.len() > MAX_LIST_BYTES {
            Err(ListError::TooLong)
        } else {
            Ok(None)
        }
    }

    /// Whether a list has begun and is not whole. Empty lines are no word from discovery then: one that writes half a list
    /// and nothing but them has fallen silent.
    pub fn is_midway(&self) -> bool {
        !self.bytes.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::collection::vec;
    use proptest::prelude::*;

    fn list(seq: u64, hosts: usize) -> EndpointList {
        let host = |number: usize| Host {
            host: format!("s-{number}}}\"{{"),
            dial: SocketAddr::from(([10, 0, 0, 1], number as u16)),
            site: None,
            class: Some("m".into()),
            block: 1,
            health: Health::Up,
            share: 1.0,
            born_ms: 0,
        };
        EndpointList {
            seq,
            whole: true,
            hosts: (0..hosts).map(host).collect(),
        }
    }

    /// The lists of a text that comes in pieces, each as long as the next of `cuts` says.
    fn read(text: &str, cuts: &[usize]) -> Result<Vec<String>, ListError> {
        let (mut lists, mut taken, mut rest) = (Lists::default(), Vec::new(), text.as_bytes());
        for cut in cuts.iter().cycle() {
            let (piece, after) = rest.split_at(rest.len().min(*cut));
            lists.feed(piece);
            while let Some(list) = lists.next()? {
                taken.push(serde_json::to_string(&list).expect("written"));
            }
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        assert!(!lists.is_midway());
        Ok(taken)
    }

    proptest! {
        /// However lists are laid out and cut, they come out as they went in.
        #[test]
        fn lists_come_out_whole(
            sizes in vec((0_usize..4, any::<bool>(), "[ \r\n\t]{0,3}"), 1..5),
            cuts in vec(1_usize..40, 1..8),
        ) {
            let (mut text, mut expected) = (String::new(), Vec::new());
            for (seq, (hosts, is_indented, space)) in sizes.into_iter().enumerate() {
                let list = list(seq as u64, hosts);
                let write = if is_indented { serde_json::to_string_pretty } else { serde_json::to_string };
                text += &format!("{}{space}", write(&list).expect("written"));
                expected.push(serde_json::to_string(&list).expect("written"));
            }
            text.push('\n');
            prop_assert_eq!(read(&text, &cuts).expect("lists"), expected);
        }
    }

    #[test]
    fn what_is_no_list_is_told_with_its_place() {
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
    fn what_never_ends_is_bounded() {
        let mut lists = Lists::default();
        lists.feed(b"{\"seq\":1,\"hosts\":[");
        let fed = (0..).find(|_| {
            lists.feed(&[b' '; 64 * 1024]);
            lists.next().is_err()
        });
        assert_eq!(fed, Some(MAX_LIST_BYTES / (64 * 1024) - 1));
    }
}
