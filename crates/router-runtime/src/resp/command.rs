//! The commands of clients: parsed, and encoded for a cache server.

use super::frame::{LINE_END, parse_bulk_string, parse_header, parse_number};
use super::{CHUNK_BYTES, MAX_VALUE_BYTES, READ_BYTES, RespError};
use crate::memory_budget::MemoryReservation;
use bytes::{Buf, Bytes, BytesMut};
use std::io::Write;
use std::ops::Range;
use std::rc::Rc;

/// The most arguments of a command, its name included. A read or write has name, key, id and
/// fields, then a value; more are accepted to answer other commands with an error.
const MAX_ARGUMENTS: usize = 8;
/// The longest command name, in bytes.
const MAX_NAME_BYTES: usize = 32;
/// The longest key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// The longest id, in bytes.
const MAX_ID_BYTES: usize = 64;
/// The longest list of fields, in bytes.
const MAX_FIELDS_BYTES: usize = 1024;

/// Indexes of the arguments of a read or a write.
const KEY: usize = 1;
const ID: usize = 2;
const FIELDS: usize = 3;
const VALUE: usize = 4;

/// The capacity reserved for the header of an argument, in bytes.
const MAX_ARGUMENT_HEADER_BYTES: usize = 16;
/// The capacity reserved for the header of a command and a longer `d` field, in bytes.
const COMMAND_OVERHEAD_BYTES: usize = 64;

/// Why arguments are not a read or write that a cache server accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// A read needs four arguments including its name, a write five.
    #[error("wrong number of arguments")]
    ArgumentCount,
    /// The key, the id or the fields are empty, or are not printable ASCII without spaces.
    #[error("malformed arguments")]
    Arguments,
    /// The fields are not a list of names and values in which each name occurs once.
    #[error("malformed fields")]
    Fields,
    /// A numeric field contains characters other than digits.
    #[error("malformed number")]
    Number,
}

/// A complete command as it arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CommandFrame {
    /// The arguments, the name first; without a long value.
    pub arguments: Vec<Bytes>,
    /// The value of a write if it is long, in chunks.
    pub long_value: Vec<Bytes>,
    /// The value of this write was discarded: it has neither a long value nor an argument for it.
    pub is_value_discarded: bool,
}

impl CommandFrame {
    /// The length of all arguments but a long value, in bytes.
    pub fn head_bytes(&self) -> usize {
        self.arguments.iter().map(Bytes::len).sum()
    }
}

impl From<Vec<Bytes>> for CommandFrame {
    fn from(arguments: Vec<Bytes>) -> Self {
        CommandFrame {
            arguments,
            ..CommandFrame::default()
        }
    }
}

/// Parses commands one after the other.
#[derive(Debug, Default)]
pub struct CommandReader {
    /// The number of arguments of the current command; 0 before its header is parsed.
    argument_count: usize,
    /// The ranges of the parsed arguments in the buffer.
    arguments: Vec<Range<usize>>,
    /// Where the next argument begins in the buffer.
    position: usize,
    /// The write whose long value is arriving; its other arguments are no longer in the buffer.
    long_write: Option<LongWrite>,
    /// The value of the current command is not kept.
    discards_value: bool,
}

/// A write whose long value is arriving. The value is held in full chunks, each in its own
/// allocation, so that no memory is held for bytes that have not arrived.
#[derive(Debug)]
struct LongWrite {
    /// All bytes before the value, as they arrived.
    head: Bytes,
    frame: CommandFrame,
    /// Bytes of the value that are not taken off the buffer yet.
    remaining_bytes: usize,
}

impl CommandReader {
    /// Takes the next command off the buffer if it is complete.
    ///
    /// # Errors
    /// If the bytes are not a command; what follows them cannot be parsed.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<CommandFrame>, RespError> {
        if self.long_write.is_some() {
            return self.next_long_chunk(buffer);
        }
        if self.argument_count == 0 && !self.read_header(buffer)? {
            return Ok(None);
        }
        while self.arguments.len() < self.argument_count {
            if self.begin_long_value(buffer)? {
                return self.next_long_chunk(buffer);
            }
            let max = self.max_argument_bytes(buffer);
            let Some(argument) = parse_bulk_string(buffer, self.position, max)? else {
                return Ok(None);
            };
            let length = argument.bytes.ok_or(RespError::Malformed)?.len();
            let argument_end = argument.end - LINE_END.len();
            self.arguments.push(argument_end - length..argument_end);
            self.position = argument.end;
        }
        let mut frame = CommandFrame::from(self.take_arguments(buffer));
        if std::mem::take(&mut self.discards_value) && frame.arguments.len() == VALUE + 1 {
            frame.arguments.truncate(VALUE);
            frame.is_value_discarded = true;
        }
        Ok(Some(frame))
    }

    /// Gives up what is held of the current command's value, and discards the rest of it.
    pub fn discard_value(&mut self) {
        self.discards_value = true;
        if let Some(write) = &mut self.long_write {
            write.frame.long_value.clear();
        }
    }

    /// Whether the value of the current command is discarded.
    pub fn is_discarding_value(&self) -> bool {
        self.discards_value
    }

    /// The fields of the write whose value is arriving; `None` if none is.
    pub fn write_fields<'a>(&'a self, buffer: &'a [u8]) -> Option<&'a str> {
        let fields = match &self.long_write {
            Some(write) => write.frame.arguments.get(FIELDS)?,
            None => buffer.get(self.arguments.get(FIELDS)?.clone())?,
        };
        std::str::from_utf8(fields).ok()
    }

    /// Takes the parsed arguments off the buffer.
    fn take_arguments(&mut self, buffer: &mut BytesMut) -> Vec<Bytes> {
        let bytes = buffer.split_to(self.position).freeze();
        self.argument_count = 0;
        self.position = 0;
        self.arguments
            .drain(..)
            .map(|range| bytes.slice(range))
            .collect()
    }

    /// Takes the bytes before a long value off the buffer; returns false if the next argument is
    /// not one.
    fn begin_long_value(&mut self, buffer: &mut BytesMut) -> Result<bool, RespError> {
        let is_value = self.is_in_value() && self.argument_count == VALUE + 1;
        if !is_value || self.max_argument_bytes(buffer) != MAX_VALUE_BYTES {
            return Ok(false);
        }
        let header = parse_header(&buffer[self.position..], b'$')?;
        let Some((header, size)) = header.and_then(|header| Some((header, header.number?))) else {
            return Ok(false);
        };
        if size <= CHUNK_BYTES {
            return Ok(false);
        }
        if size > MAX_VALUE_BYTES {
            return Err(RespError::TooLarge);
        }
        let head = Bytes::copy_from_slice(&buffer[..self.position + header.length]);
        let frame = self.take_arguments(buffer).into();
        buffer.advance(header.length);
        self.long_write = Some(LongWrite {
            head,
            frame,
            remaining_bytes: size,
        });
        Ok(true)
    }

    /// Takes the full chunks of a long value off the buffer; returns the command once it is
    /// complete.
    fn next_long_chunk(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<Option<CommandFrame>, RespError> {
        let Some(write) = &mut self.long_write else {
            return Ok(None);
        };
        while write.remaining_bytes > 0 {
            let chunk = write.remaining_bytes.min(CHUNK_BYTES);
            if buffer.len() < chunk {
                return Ok(None);
            }
            let bytes = buffer.split_to(chunk);
            if !self.discards_value {
                write.frame.long_value.push(bytes.freeze());
            }
            write.remaining_bytes -= chunk;
        }
        match buffer.get(..LINE_END.len()) {
            Some(LINE_END) => buffer.advance(LINE_END.len()),
            Some(_) => return Err(RespError::Malformed),
            None => return Ok(None),
        }
        let is_value_discarded = std::mem::take(&mut self.discards_value);
        Ok(self.long_write.take().map(|write| CommandFrame {
            is_value_discarded,
            ..write.frame
        }))
    }

    /// Parses the number of arguments; returns false if it has not arrived yet.
    fn read_header(&mut self, buffer: &BytesMut) -> Result<bool, RespError> {
        if buffer.is_empty() {
            return Ok(false);
        }
        let Some(header) = parse_header(buffer, b'*')? else {
            return Ok(false);
        };
        match header.number {
            None | Some(0) => Err(RespError::Malformed),
            Some(count) if count > MAX_ARGUMENTS => Err(RespError::TooLarge),
            Some(count) => {
                self.argument_count = count;
                self.position = header.length;
                Ok(true)
            }
        }
    }

    /// The maximum length of the next argument, in bytes.
    fn max_argument_bytes(&self, buffer: &[u8]) -> usize {
        let name = self.arguments.first().map(|range| &buffer[range.clone()]);
        let is_write = name.is_some_and(is_write_name);
        match self.arguments.len() {
            0 => MAX_NAME_BYTES,
            KEY => MAX_KEY_BYTES,
            ID => MAX_ID_BYTES,
            FIELDS => MAX_FIELDS_BYTES,
            VALUE if is_write => MAX_VALUE_BYTES,
            _ => MAX_ID_BYTES,
        }
    }

    /// Whether the value of a write is arriving: all arguments before it are complete.
    pub fn is_in_value(&self) -> bool {
        self.arguments.len() == VALUE || self.long_write.is_some()
    }

    /// The full chunks of the current command's long value; `None` if there is none.
    pub fn held_chunks_mut(&mut self) -> Option<&mut Vec<Bytes>> {
        self.long_write
            .as_mut()
            .map(|write| &mut write.frame.long_value)
    }

    /// Bytes of the current command's value that are no longer in the buffer.
    pub fn held_bytes(&self) -> usize {
        let chunks = self
            .long_write
            .iter()
            .flat_map(|write| &write.frame.long_value);
        chunks.map(Bytes::len).sum()
    }

    /// The bytes of the current command that were taken off the buffer, as they arrived.
    pub fn into_unread(self) -> Vec<Bytes> {
        let Some(write) = self.long_write else {
            return Vec::new();
        };
        let mut unread = vec![write.head];
        unread.extend(write.frame.long_value);
        unread
    }

    /// The most to read next, in bytes.
    pub fn next_read_bytes(&self, buffer: &[u8]) -> usize {
        match &self.long_write {
            // To the end of a chunk and no further, so that nothing else shares its allocation.
            Some(write) if write.remaining_bytes > 0 => {
                let chunk = write.remaining_bytes.min(CHUNK_BYTES);
                chunk.saturating_sub(buffer.len()).max(1)
            }
            _ => READ_BYTES.max(self.missing_bytes(buffer).min(CHUNK_BYTES)),
        }
    }

    /// How many bytes the current argument still needs; 0 if that is not known.
    pub fn missing_bytes(&self, buffer: &[u8]) -> usize {
        if let Some(write) = &self.long_write {
            return (write.remaining_bytes + LINE_END.len()).saturating_sub(buffer.len());
        }
        if self.argument_count == 0 {
            return 0;
        }
        let Some(rest) = buffer.get(self.position..) else {
            return 0;
        };
        let Ok(Some(header)) = parse_header(rest, b'$') else {
            return 0;
        };
        let Some(size) = header.number else {
            return 0;
        };
        let line_end = LINE_END.len();
        let end = self.position + header.length + size.min(MAX_VALUE_BYTES) + line_end;
        end.saturating_sub(buffer.len())
    }
}

/// A read or a write as the client sent it.
#[derive(Clone, Debug)]
pub struct Command {
    arguments: Vec<Bytes>,
    /// A long value, in chunks.
    long_value: Vec<Bytes>,
    /// The value of this write was discarded, so that it cannot be sent.
    is_value_discarded: bool,
    /// The memory of a long value, released together with it.
    memory: Option<Rc<MemoryReservation>>,
}

/// A command encoded for a cache server.
#[derive(Clone, Debug)]
pub struct EncodedCommand {
    /// The command, without its value if that is long.
    pub head: Vec<u8>,
    /// The chunks of a long value. They are written after the head without copying, followed by a
    /// line end.
    pub long_value: Vec<Bytes>,
}

impl Command {
    /// Builds a command from a frame with at least one argument: name, key, id, list of fields, and
    /// the value of a write.
    ///
    /// # Errors
    /// If a cache server would not accept it.
    pub fn new(frame: impl Into<CommandFrame>) -> Result<Command, CommandError> {
        let CommandFrame {
            arguments,
            long_value,
            is_value_discarded,
        } = frame.into();
        let is_write = is_write_name(&arguments[0]);
        let is_value_apart = is_value_discarded || !long_value.is_empty();
        let argument_count = if is_write && !is_value_apart {
            VALUE + 1
        } else {
            FIELDS + 1
        };
        if arguments.len() != argument_count {
            return Err(CommandError::ArgumentCount);
        }
        let is_plain =
            |argument: &Bytes| !argument.is_empty() && argument.iter().all(u8::is_ascii_graphic);
        if !arguments[KEY..=FIELDS].iter().all(is_plain) {
            return Err(CommandError::Arguments);
        }
        let command = Command {
            arguments,
            long_value,
            is_value_discarded,
            memory: None,
        };
        command.check_fields()?;
        Ok(command)
    }

    /// Attaches the memory reservation of the command's long value.
    pub fn with_memory(mut self, memory: Option<MemoryReservation>) -> Command {
        self.memory = memory.map(Rc::new);
        self
    }

    fn check_fields(&self) -> Result<(), CommandError> {
        let mut names: Vec<&str> = Vec::new();
        for pair in self.fields().split(',') {
            let (name, value) = pair.split_once('=').ok_or(CommandError::Fields)?;
            if name.is_empty() || value.is_empty() || names.contains(&name) {
                return Err(CommandError::Fields);
            }
            names.push(name);
        }
        Ok(())
    }

    /// The list of fields; [`Command::new`] has checked that it is printable ASCII.
    fn fields(&self) -> &str {
        std::str::from_utf8(&self.arguments[FIELDS]).unwrap_or_default()
    }

    /// The client-chosen id of the request.
    pub fn id(&self) -> &Bytes {
        &self.arguments[ID]
    }

    /// Whether the command is a write.
    pub fn is_write(&self) -> bool {
        self.arguments.len() > VALUE || !self.long_value.is_empty() || self.is_value_discarded
    }

    /// Whether the value of this write was discarded, so that it cannot be sent.
    pub fn is_value_discarded(&self) -> bool {
        self.is_value_discarded
    }

    /// The key.
    pub fn key(&self) -> &Bytes {
        &self.arguments[KEY]
    }

    /// What distinguishes this read from others of its class and key: its fields in sorted order,
    /// without the ignored ones. Empty for most reads.
    pub fn variant(&self, is_ignored: impl Fn(&str) -> bool) -> Vec<u8> {
        let mut fields: Vec<&str> = self
            .fields()
            .split(',')
            .filter(|pair| {
                pair.split_once('=')
                    .is_some_and(|(name, _)| !is_ignored(name))
            })
            .collect();
        fields.sort_unstable();
        fields.join(",").into_bytes()
    }

    /// The value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        field(self.fields(), name)
    }

    /// The value of a numeric field, which must consist of digits; a number that does not fit
    /// becomes the largest `u64`.
    pub fn number(&self, name: &str) -> Option<Result<u64, CommandError>> {
        number(self.fields(), name)
    }

    /// Encodes the command for a cache server. Only the field `d` changes, to how long the router
    /// will wait, in milliseconds.
    pub fn encode(&self, timeout_ms: u64) -> EncodedCommand {
        let fields = self.fields_with_timeout(timeout_ms);
        let long_value = self.long_value_chunks();
        let inline_count = if long_value.is_empty() {
            self.arguments.len()
        } else {
            VALUE
        };
        let inline_arguments = &self.arguments[..inline_count];
        let arguments_size: usize = inline_arguments
            .iter()
            .map(|argument| argument.len() + MAX_ARGUMENT_HEADER_BYTES)
            .sum();
        let mut head = Vec::with_capacity(arguments_size + COMMAND_OVERHEAD_BYTES);
        let argument_count = if self.is_write() {
            VALUE + 1
        } else {
            FIELDS + 1
        };
        // Writing to a vector does not fail.
        let _ = write!(head, "*{argument_count}\r\n");
        for (index, argument) in inline_arguments.iter().enumerate() {
            let argument = if index == FIELDS {
                fields.as_bytes()
            } else {
                argument
            };
            let _ = write!(head, "${}\r\n", argument.len());
            head.extend_from_slice(argument);
            head.extend_from_slice(b"\r\n");
        }
        if !long_value.is_empty() {
            let length: usize = long_value.iter().map(Bytes::len).sum();
            let _ = write!(head, "${length}\r\n");
        }
        EncodedCommand {
            head,
            long_value: long_value.to_vec(),
        }
    }

    /// The chunks of a value that is not copied into the head.
    fn long_value_chunks(&self) -> &[Bytes] {
        let inline = self.arguments.get(VALUE..).unwrap_or_default();
        match inline {
            [value] if value.len() > READ_BYTES => inline,
            _ => &self.long_value,
        }
    }

    fn fields_with_timeout(&self, timeout_ms: u64) -> String {
        let fields: Vec<String> = self
            .fields()
            .split(',')
            .map(|pair| {
                if pair.starts_with("d=") {
                    format!("d={timeout_ms}")
                } else {
                    pair.to_string()
                }
            })
            .collect();
        fields.join(",")
    }
}

/// The value of a field in a list of fields.
pub fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields
        .split(',')
        .filter_map(|pair| pair.split_once('='))
        .find(|pair| pair.0 == name)
        .map(|pair| pair.1)
}

/// The value of a numeric field in a list of fields, which must consist of digits; a number that
/// does not fit becomes the largest `u64`.
pub fn number(fields: &str, name: &str) -> Option<Result<u64, CommandError>> {
    let text = field(fields, name)?;
    Some(parse_number(text.as_bytes()).ok_or(CommandError::Number))
}

fn is_write_name(name: impl AsRef<[u8]>) -> bool {
    name.as_ref().eq_ignore_ascii_case(b"C.SET")
}
