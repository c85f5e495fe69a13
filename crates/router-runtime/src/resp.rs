//! RESP2 as clients and cache servers speak it: whole frames from a buffer, and a client's command.

use bytes::{Bytes, BytesMut};
use load_balancer::CacheStatus;
use std::fmt;
use std::io::Write;
use std::ops::Range;

/// The largest value that the protocol allows.
pub const MAX_VALUE: usize = 4 * 1024 * 1024;
/// A longer value of an answer is passed on as it comes; others once they are whole.
pub const LONG: usize = 64 * 1024;
/// Room for one read: the usual answer comes in one, and so does what a peer wrote behind it.
pub const READ_SIZE: usize = 4 * 1024;
/// Bytes after which the rest of the connection cannot be understood.
#[derive(Debug, PartialEq, Eq)]
pub enum RespError {
    TooLarge,
    Malformed,
}

impl fmt::Display for RespError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RespError::TooLarge => "frame too large",
            RespError::Malformed => "not RESP2",
        })
    }
}

/// The most words of a command, and how long they may be: a name, then key, id, and names with values, then a value.
/// Commands of other names get an error, and some words more are read for it.
const MAX_WORDS: usize = 8;
const MAX_NAME: usize = 32;
const MAX_KEY: usize = 256;
const MAX_ID: usize = 64;
const MAX_FIELDS: usize = 1024;

/// Reads one command after the other, and each byte of them about once however they come. What is too large is turned
/// away by its header.
#[derive(Debug, Default)]
pub struct CommandReader {
    words: usize,
    /// Where each word that has been read whole lies.
    found: Vec<Range<usize>>,
    at: usize,
}

impl CommandReader {
    /// The next command if it is whole, taken off the buffer.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, RespError> {
        if self.words == 0 {
            if buffer.is_empty() {
                return Ok(None);
            }
            let Some((count, end)) = header(buffer, b'*')? else {
                return Ok(None);
            };
            match count {
                None | Some(0) => return Err(RespError::Malformed),
                Some(count) if count > MAX_WORDS => return Err(RespError::TooLarge),
                Some(count) => (self.words, self.at) = (count, end),
            }
        }
        while self.found.len() < self.words {
            let most = self.most(buffer);
            let Some((word, end)) = bulk(buffer, self.at, most)? else {
                return Ok(None);
            };
            let word = word.ok_or(RespError::Malformed)?;
            self.found.push(end - 2 - word.len()..end - 2);
            self.at = end;
        }
        let bytes = buffer.split_to(self.at).freeze();
        let words = self
            .found
            .drain(..)
            .map(|range| bytes.slice(range))
            .collect();
        (self.words, self.at) = (0, 0);
        Ok(Some(words))
    }

    /// How long the next word may be.
    fn most(&self, buffer: &[u8]) -> usize {
        let name = self.found.first().map(|range| &buffer[range.clone()]);
        let is_write = name.is_some_and(|name| name.eq_ignore_ascii_case(b"C.SET"));
        match self.found.len() {
            0 => MAX_NAME,
            1 => MAX_KEY,
            2 => MAX_ID,
            3 => MAX_FIELDS,
            4 if is_write => MAX_VALUE,
            _ => MAX_ID,
        }
    }

    /// The value of a write is on its way: all that comes before it is whole.
    pub fn is_in_value(&self) -> bool {
        self.found.len() == 4
    }

    /// How many bytes more the word that is on its way needs, as far as that is known.
    pub fn missing(&self, buffer: &[u8]) -> usize {
        match buffer.get(self.at..).map(|rest| header(rest, b'$')) {
            Some(Ok(Some((Some(size), length)))) if self.words > 0 => {
                (self.at + length + size.min(MAX_VALUE) + 2).saturating_sub(buffer.len())
            }
            _ => 0,
        }
    }
}

/// What a cache server said: the rows of the table of outcomes, and nothing else.
/// The text of a load report, where one came: printable, and no longer than a peer's line.
pub type Report = Option<Bytes>;

#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// The value or receipt as bytes for the client, and how the read went.
    Served {
        bytes: Bytes,
        cache_status: Option<CacheStatus>,
        report: Report,
    },
    /// `-ERR`.
    Failed(Report),
    /// `-BUSY`.
    Busy(Report),
}

/// How long a line of a peer's may be: an error with a load report, a header, a load report.
const MAX_ERROR: usize = 512;
const MAX_HEADER: usize = 24;
const MAX_REPORT: usize = 256;
/// How a read went is one short word.
const MAX_NOTE: usize = 16;

/// Reads one answer, and each byte of it about once however it comes. A value that is too large or ends where it
/// should not is turned away as soon as that shows.
#[derive(Debug, Default)]
pub struct ReplyReader {
    /// Where the items that have been read whole end.
    at: usize,
    items: usize,
    cache_status: Option<CacheStatus>,
}

impl ReplyReader {
    /// The value is whole, and how the read went: what is missing is the load report.
    pub fn has_value(&self) -> bool {
        self.items == 3
    }

    /// A value that is to be passed on as it comes, once its header and some of it have come: that header, taken off the
    /// buffer, and the reader for the rest. Guards against a spoilt length before a short value: what has been passed on
    /// cannot be asked for anew. Hurts a server that gives a long value by less than [`READ_SIZE`] in a while: its first
    /// bytes go out later.
    pub fn long(&self, buffer: &mut BytesMut) -> Option<(Bytes, LongReader)> {
        let (Some(3), at) = header(buffer, b'*').ok()?? else {
            return None;
        };
        let (size, length) = header(&buffer[at..], b'$').ok()??;
        let left = size.filter(|&size| size > LONG && size <= MAX_VALUE)?;
        if buffer.len() < at + length + READ_SIZE {
            return None;
        }
        let tail = ReplyReader {
            at: 2,
            items: 2,
            cache_status: None,
        };
        Some((
            buffer.split_to(at + length).freeze(),
            LongReader { left, tail },
        ))
    }

    /// The answer if it is whole, taken off the buffer. An error means that it can't be read and nor can what follows.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Reply>, RespError> {
        if self.items == 0 {
            match buffer.first() {
                None => return Ok(None),
                Some(b'-') => return error_reply(buffer),
                Some(_) => {}
            }
            let Some((count, end)) = header(buffer, b'*')? else {
                return Ok(None);
            };
            if count != Some(3) {
                return Err(RespError::Malformed);
            }
            (self.at, self.items) = (end, 1);
        }
        if self.items == 1 {
            let Some((value, end)) = bulk(buffer, self.at, MAX_VALUE)? else {
                return Ok(None);
            };
            value.ok_or(RespError::Malformed)?;
            (self.at, self.items) = (end, 2);
        }
        if self.items == 2 {
            let Some((word, end)) = bulk(buffer, self.at, MAX_NOTE)? else {
                return Ok(None);
            };
            self.cache_status = match word {
                Some(b"hit") => Some(CacheStatus::Hit),
                Some(b"miss") => Some(CacheStatus::Miss),
                Some(b"pending") => Some(CacheStatus::MissPending),
                Some(word) if !word.iter().all(u8::is_ascii_alphabetic) => {
                    return Err(RespError::Malformed);
                }
                _ => None,
            };
            (self.at, self.items) = (end, 3);
        }
        match bulk(buffer, self.at, MAX_REPORT) {
            Ok(None) => Ok(None),
            Ok(Some((report, end))) if report.is_none_or(|text| text.iter().all(is_printable)) => {
                let text = report.map(|text| end - 2 - text.len()..end - 2);
                let bytes = buffer.split_to(end).freeze();
                let report = text.map(|text| bytes.slice(text));
                Ok(Some(Reply::Served {
                    bytes,
                    cache_status: self.cache_status,
                    report,
                }))
            }
            // What is left in the buffer tells that the connection is of no further use.
            Ok(Some(_)) | Err(_) => Ok(Some(self.served_without_report(buffer))),
        }
    }

    /// The answer with a null for the load report that could not be read or never came.
    pub fn served_without_report(&self, buffer: &BytesMut) -> Reply {
        let bytes = Bytes::from([&buffer[..self.at], b"$-1\r\n"].concat());
        Reply::Served {
            bytes,
            cache_status: self.cache_status,
            report: None,
        }
    }
}

/// What comes next of a long value.
#[derive(Debug, PartialEq, Eq)]
pub enum Part {
    /// Bytes of the value.
    Bytes(Bytes),
    /// All behind the value, whole: the end of the answer.
    Last(Reply),
}

/// Reads a long value after its header, without holding it.
#[derive(Debug)]
pub struct LongReader {
    /// Bytes of the value that have not come yet.
    left: usize,
    /// Reads what is behind it.
    tail: ReplyReader,
}

impl LongReader {
    /// What has come, taken off the buffer. An error means that the rest cannot be told apart: the answer is broken off.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Part>, RespError> {
        if self.left > 0 {
            let length = self.left.min(buffer.len());
            self.left -= length;
            return Ok((length > 0).then(|| Part::Bytes(buffer.split_to(length).freeze())));
        }
        if !b"\r\n".starts_with(&buffer[..buffer.len().min(2)]) {
            return Err(RespError::Malformed);
        }
        if buffer.len() < 2 {
            return Ok(None);
        }
        Ok(self.tail.next(buffer)?.map(Part::Last))
    }

    /// All but the load report has come.
    pub fn has_value(&self) -> bool {
        self.left == 0 && self.tail.has_value()
    }

    /// The end of the answer with a null for the load report that never came.
    pub fn without_report(&self, buffer: &BytesMut) -> Reply {
        self.tail.served_without_report(buffer)
    }
}

fn is_printable(byte: &u8) -> bool {
    (b' '..=b'~').contains(byte)
}

fn error_reply(buffer: &mut BytesMut) -> Result<Option<Reply>, RespError> {
    let Some(length) = line(buffer, MAX_ERROR)? else {
        return Ok(None);
    };
    let text = buffer.split_to(length + 2).freeze().slice(1..length);
    if !text.iter().all(is_printable) {
        return Err(RespError::Malformed);
    }
    // The report may stand last, after a space; a word of the error's own reads as none.
    let last = text
        .iter()
        .rposition(|&byte| byte == b' ')
        .map(|space| text.slice(space + 1..));
    match text.split(|&byte| byte == b' ').next() {
        Some(b"ERR") => Ok(Some(Reply::Failed(last))),
        Some(b"BUSY") => Ok(Some(Reply::Busy(last))),
        _ => Err(RespError::Malformed),
    }
}

/// The length of the line that the bytes begin with; an error if it is longer than `most`.
fn line(bytes: &[u8], most: usize) -> Result<Option<usize>, RespError> {
    let seen = &bytes[..bytes.len().min(most)];
    match seen.windows(2).position(|pair| pair == b"\r\n") {
        Some(length) => Ok(Some(length)),
        None if bytes.len() >= most => Err(RespError::TooLarge),
        None => Ok(None),
    }
}

/// The number in the header that the bytes begin with, none for -1, and where the header ends.
fn header(bytes: &[u8], kind: u8) -> Result<Option<(Option<usize>, usize)>, RespError> {
    if bytes.first().is_some_and(|&first| first != kind) {
        return Err(RespError::Malformed);
    }
    let Some(length) = line(bytes, MAX_HEADER)? else {
        return Ok(None);
    };
    let number = match bytes.get(1..length) {
        Some(b"-1") => None,
        Some(digits) => Some(digits_of(digits).ok_or(RespError::Malformed)?),
        None => return Err(RespError::Malformed),
    };
    Ok(Some((
        number.map(|n| usize::try_from(n).unwrap_or(usize::MAX)),
        length + 2,
    )))
}

/// A number of digits alone: no sign, no space. More than fits is the largest number.
fn digits_of(digits: &[u8]) -> Option<u64> {
    let fits = |number: u64, digit: u8| {
        number
            .saturating_mul(10)
            .saturating_add(u64::from(digit - b'0'))
    };
    let all = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
    all.then(|| digits.iter().fold(0, |number, &digit| fits(number, digit)))
}

/// A bulk string as far as it has come: none while it is not whole, its bytes (none for a null) and where it ends.
type Bulk<'a> = Option<(Option<&'a [u8]>, usize)>;

/// The bulk string at this place, of at most so many bytes.
fn bulk(bytes: &[u8], at: usize, most: usize) -> Result<Bulk<'_>, RespError> {
    let Some((size, length)) = header(&bytes[at..], b'$')? else {
        return Ok(None);
    };
    let start = at + length;
    let Some(size) = size else {
        return Ok(Some((None, start)));
    };
    if size > most {
        return Err(RespError::TooLarge);
    }
    match bytes.get(start + size..start + size + 2) {
        Some(b"\r\n") => Ok(Some((Some(&bytes[start..start + size]), start + size + 2))),
        Some(_) => Err(RespError::Malformed),
        None => Ok(None),
    }
}

/// A read or a write as the client sent it.
#[derive(Clone, Debug)]
pub struct Command {
    words: Vec<Bytes>,
}

impl Command {
    /// A command that a cache server can use: its key, its id and its list of names and values, each once, and its
    /// value if it is a write.
    pub fn new(words: Vec<Bytes>) -> Result<Command, &'static str> {
        let write = words[0].eq_ignore_ascii_case(b"C.SET");
        if words.len() != 4 + usize::from(write) {
            return Err("ERR wrong number of arguments");
        }
        let is_plain = |word: &Bytes| !word.is_empty() && word.iter().all(u8::is_ascii_graphic);
        if !words[1..4].iter().all(is_plain) {
            return Err("ERR malformed arguments");
        }
        let command = Command { words };
        let mut names: Vec<&str> = Vec::new();
        for pair in command.fields().split(',') {
            match pair.split_once('=') {
                Some((name, value))
                    if !name.is_empty() && !value.is_empty() && !names.contains(&name) =>
                {
                    names.push(name);
                }
                _ => return Err("ERR malformed fields"),
            }
        }
        Ok(command)
    }

    fn fields(&self) -> &str {
        // Checked to be of printable ASCII.
        std::str::from_utf8(&self.words[3]).unwrap_or_default()
    }

    pub fn id(&self) -> &Bytes {
        &self.words[2]
    }

    pub fn is_write(&self) -> bool {
        self.words.len() == 5
    }

    pub fn key(&self) -> &Bytes {
        &self.words[1]
    }

    /// What tells this read from others of its class and key: its names and values but for those that these tell of,
    /// in one order. Empty for most.
    pub fn variant(&self, is_left_out: impl Fn(&str) -> bool) -> Vec<u8> {
        let kept = |pair: &&str| {
            pair.split_once('=')
                .is_some_and(|(name, _)| !is_left_out(name))
        };
        let mut pairs: Vec<&str> = self.fields().split(',').filter(kept).collect();
        pairs.sort_unstable();
        pairs.join(",").into_bytes()
    }

    /// The value of a name in the list of names and values.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields()
            .split(',')
            .filter_map(|pair| pair.split_once('='))
            .find(|pair| pair.0 == name)
            .map(|p| p.1)
    }

    /// The same as a number, of digits alone; what is more than fits is the largest.
    pub fn number(&self, name: &str) -> Option<Result<u64, &'static str>> {
        self.field(name)
            .map(|text| digits_of(text.as_bytes()).ok_or("ERR malformed number"))
    }

    /// The command for a cache server: unchanged but for `d`, how long the router will wait, in milliseconds. A long
    /// value is left out at the end, to be written from where it lies.
    pub fn encode(&self, wait_ms: u64) -> (Vec<u8>, Option<Bytes>) {
        let fields: Vec<String> = self
            .fields()
            .split(',')
            .map(|pair| {
                if pair.starts_with("d=") {
                    format!("d={wait_ms}")
                } else {
                    pair.to_string()
                }
            })
            .collect();
        let fields = fields.join(",");
        let long = self.words.get(4).filter(|value| value.len() > READ_SIZE);
        let inline = if long.is_some() { 4 } else { self.words.len() };
        let size = self.words[..inline]
            .iter()
            .map(|word| word.len() + 16)
            .sum::<usize>()
            + 64;
        let mut out = Vec::with_capacity(size);
        // Writing to a vector does not fail.
        let _ = write!(out, "*{}\r\n", self.words.len());
        for (place, word) in self.words[..inline].iter().enumerate() {
            let word = if place == 3 { fields.as_bytes() } else { word };
            let _ = write!(out, "${}\r\n", word.len());
            out.extend_from_slice(word);
            out.extend_from_slice(b"\r\n");
        }
        if let Some(value) = long {
            let _ = write!(out, "${}\r\n", value.len());
        }
        (out, long.cloned())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::collection::vec;
    use proptest::prelude::*;
    use redis_protocol::resp2::decode::decode_bytes;
    use redis_protocol::resp2::types::BytesFrame;

    fn command_of(text: &[u8]) -> Result<Option<Vec<Bytes>>, RespError> {
        CommandReader::default().next(&mut BytesMut::from(text))
    }

    fn reply_of(text: &[u8]) -> Result<Option<Reply>, RespError> {
        ReplyReader::default().next(&mut BytesMut::from(text))
    }

    fn framed(words: &[Vec<u8>]) -> Vec<u8> {
        let mut out = format!("*{}\r\n", words.len()).into_bytes();
        for word in words {
            out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
            out.extend_from_slice(word);
            out.extend_from_slice(b"\r\n");
        }
        out
    }

    /// What a reader takes from bytes that come in pieces, each as long as the next of `cuts` says.
    fn in_pieces<T>(
        text: &[u8],
        cuts: &[usize],
        mut next: impl FnMut(&mut BytesMut) -> Result<Option<T>, RespError>,
    ) -> Result<Vec<T>, RespError> {
        let (mut buffer, mut taken, mut rest) = (BytesMut::new(), Vec::new(), text);
        let mut cuts = cuts.iter().cycle();
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(rest.len().min(*cuts.next().expect("a cut")));
            buffer.extend_from_slice(piece);
            rest = after;
            while let Some(item) = next(&mut buffer)? {
                taken.push(item);
            }
        }
        Ok(taken)
    }

    proptest! {
        /// However commands are cut into reads, they come out as they went in.
        #[test]
        fn commands_come_out_whole_however_they_are_cut(
            commands in vec(vec(vec(any::<u8>(), 0..=MAX_NAME), 1..=MAX_WORDS), 1..5),
            cuts in vec(1_usize..40, 1..8),
        ) {
            let text: Vec<u8> = commands.iter().flat_map(|words| framed(words)).collect();
            let mut reader = CommandReader::default();
            let taken = in_pieces(&text, &cuts, |buffer| reader.next(buffer)).unwrap();
            let taken: Vec<Vec<Vec<u8>>> =
                taken.iter().map(|words| words.iter().map(|word| word.to_vec()).collect()).collect();
            prop_assert_eq!(taken, commands);
        }

        /// Of arbitrary bytes a reader takes nothing that a library of the protocol would not take for the same, and
        /// it holds on to a bounded number of them.
        #[test]
        fn nothing_is_taken_that_is_no_command(
            text in "[*$0-9+:a-]{0,4}(\r\n)?[*$0-9a-z-]{0,6}(\r\n)?[$0-9a-z-]{0,6}(\r\n)?",
        ) {
            let library = decode_bytes(&Bytes::from(text.clone().into_bytes()));
            if let Ok(Some(words)) = command_of(text.as_bytes()) {
                let frame = words.into_iter().map(BytesFrame::BulkString).collect();
                prop_assert_eq!(library.unwrap().unwrap().0, BytesFrame::Array(frame));
            }
        }

        /// What cuts do not change: whether an answer is one, and which.
        #[test]
        fn answers_are_the_same_however_they_are_cut(
            value in vec(any::<u8>(), 0..200),
            spoil in any::<Option<(usize, u8)>>(),
            cuts in vec(1_usize..40, 1..8),
        ) {
            let mut text = framed(&[value, b"hit".to_vec(), b"util=0.5".to_vec()]);
            if let Some((place, byte)) = spoil {
                let place = place % text.len();
                text[place] = byte;
            }
            let whole = reply_of(&text);
            let mut reader = ReplyReader::default();
            let mut first = None;
            let pieces = in_pieces(&text, &cuts, |buffer| {
                Ok(if first.is_none() { first = reader.next(buffer)?; None::<()> } else { None })
            });
            match whole {
                Err(error) => prop_assert_eq!(pieces, Err(error)),
                Ok(whole) => prop_assert_eq!(first, whole),
            }
        }
    }

    #[test]
    fn a_report_is_told_apart_wherever_it_stands() {
        let report = |text: &[u8]| match reply_of(text) {
            Ok(Some(
                Reply::Served { report, .. } | Reply::Failed(report) | Reply::Busy(report),
            )) => report,
            other => panic!("{other:?}"),
        };
        let util = Some(Bytes::from_static(b"util=0.5,queue=2"));
        let good = framed(&[b"v".to_vec(), b"hit".to_vec(), b"util=0.5,queue=2".to_vec()]);
        assert_eq!(report(&good), util);
        assert_eq!(report(b"-ERR failed util=0.5,queue=2\r\n"), util);
        assert_eq!(report(b"-BUSY util=0.5,queue=2\r\n"), util);
        assert_eq!(report(b"-BUSY\r\n"), None);
        assert_eq!(report(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n"), None);
    }

    #[test]
    fn too_much_is_turned_away_by_its_header() {
        let large = |text: &str| {
            assert_eq!(
                command_of(text.as_bytes()),
                Err(RespError::TooLarge),
                "{text}"
            )
        };
        large("*9\r\n");
        large("*99999999999999999999999\r\n");
        large("*1\r\n$33\r\n");
        large("*2\r\n$5\r\nC.GET\r\n$60000000\r\n");
        large("*5\r\n$5\r\nC.GET\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nf\r\n$65\r\n");
        large("*5\r\n$5\r\nC.SET\r\n$1\r\nk\r\n$1\r\ni\r\n$1\r\nf\r\n$4194305\r\n");
        large(&format!("*{}", "1".repeat(MAX_HEADER)));
        let malformed = |text: &str| {
            assert_eq!(
                command_of(text.as_bytes()),
                Err(RespError::Malformed),
                "{text}"
            )
        };
        malformed("GET x\r\n");
        malformed("*0\r\n");
        malformed("*-1\r\n");
        malformed("*+1\r\n");
        malformed("*1\r\n*1\r\n");
        malformed("*1\r\n$-1\r\n");
        malformed("*1\r\n$-7\r\n");
        malformed("*1\r\n$3\r\nabcde\r\n");
    }

    #[test]
    fn only_what_a_cache_server_can_use_is_a_command() {
        let new = |words: [&str; 4]| {
            Command::new(words.map(|word| Bytes::from(word.to_string())).to_vec())
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
    fn only_the_wait_changes_on_the_way_to_a_cache_server() {
        let words = ["C.SET", "k1", "id1", "c=put,t=acme,d=480,k=5c0f", "v"]
            .map(Bytes::from)
            .to_vec();
        let command = Command::new(words).unwrap();
        let sent = String::from_utf8(command.encode(31).0).unwrap();
        assert_eq!(
            sent,
            "*5\r\n$5\r\nC.SET\r\n$2\r\nk1\r\n$3\r\nid1\r\n$24\r\nc=put,t=acme,d=31,k=5c0f\r\n$1\r\nv\r\n"
        );
    }
}
