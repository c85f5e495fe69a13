//! A client's command: read, and written for a cache server.

use super::frame::{LINE_END, bulk, header, number};
use super::{MAX_VALUE, READ_SIZE, RespError};
use bytes::{Bytes, BytesMut};
use std::io::Write;
use std::ops::Range;

/// The most arguments of a command, its name included: name, key, id and fields, then a value. Some more are read to
/// answer commands of other names with an error.
const MAX_ARGUMENTS: usize = 8;
/// The longest name of a command, in bytes.
const MAX_NAME: usize = 32;
/// The longest key, in bytes.
const MAX_KEY: usize = 256;
/// The longest id, in bytes.
const MAX_ID: usize = 64;
/// The longest list of fields, in bytes.
const MAX_FIELDS: usize = 1024;

/// Places of the arguments of a read or a write.
const KEY: usize = 1;
const ID: usize = 2;
const FIELDS: usize = 3;
const VALUE: usize = 4;

/// Room for the header of a argument, in bytes.
const ARGUMENT_HEADER_ROOM: usize = 16;
/// Room for the header of a command and a longer `d` field, in bytes.
const COMMAND_ROOM: usize = 64;

/// Why arguments make no read or write that a cache server can use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// A read has four arguments with its name, a write five.
    #[error("wrong number of arguments")]
    ArgumentCount,
    /// Key, id or fields are empty or not printable ASCII without spaces.
    #[error("malformed arguments")]
    Arguments,
    /// The fields are no list of names and values, each name once.
    #[error("malformed fields")]
    Fields,
    /// A field that is a number has other characters than digits.
    #[error("malformed number")]
    Number,
}

/// Reads one command after the other.
#[derive(Debug, Default)]
pub struct CommandReader {
    /// Words of the command on its way; 0 before its header.
    argument_count: usize,
    /// Where each argument that has been read whole lies.
    arguments: Vec<Range<usize>>,
    /// Where the next argument begins.
    position: usize,
}

impl CommandReader {
    /// Takes the next command off the buffer, as its arguments, if it is whole.
    ///
    /// # Errors
    /// When the bytes are no command: nothing that follows can be read.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, RespError> {
        if self.argument_count == 0 && !self.read_header(buffer)? {
            return Ok(None);
        }
        while self.arguments.len() < self.argument_count {
            let max = self.max_argument(buffer);
            let Some(argument) = bulk(buffer, self.position, max)? else {
                return Ok(None);
            };
            let length = argument.bytes.ok_or(RespError::Malformed)?.len();
            let argument_end = argument.end - LINE_END.len();
            self.arguments.push(argument_end - length..argument_end);
            self.position = argument.end;
        }
        let bytes = buffer.split_to(self.position).freeze();
        let arguments = self
            .arguments
            .drain(..)
            .map(|range| bytes.slice(range))
            .collect();
        self.argument_count = 0;
        self.position = 0;
        Ok(Some(arguments))
    }

    /// Reads the number of arguments; false if it has not arrived yet.
    fn read_header(&mut self, buffer: &BytesMut) -> Result<bool, RespError> {
        if buffer.is_empty() {
            return Ok(false);
        }
        let Some(header) = header(buffer, b'*')? else {
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

    /// How long the next argument may be, in bytes.
    fn max_argument(&self, buffer: &[u8]) -> usize {
        let name = self.arguments.first().map(|range| &buffer[range.clone()]);
        let is_write = name.is_some_and(is_write_name);
        match self.arguments.len() {
            0 => MAX_NAME,
            KEY => MAX_KEY,
            ID => MAX_ID,
            FIELDS => MAX_FIELDS,
            VALUE if is_write => MAX_VALUE,
            _ => MAX_ID,
        }
    }

    /// Whether the value of a write is on its way: all that comes before it is whole.
    pub fn is_in_value(&self) -> bool {
        self.arguments.len() == VALUE
    }

    /// How many bytes the argument on its way still needs, as far as that is known.
    pub fn missing(&self, buffer: &[u8]) -> usize {
        if self.argument_count == 0 {
            return 0;
        }
        let Some(rest) = buffer.get(self.position..) else {
            return 0;
        };
        let Ok(Some(header)) = header(rest, b'$') else {
            return 0;
        };
        let Some(size) = header.number else {
            return 0;
        };
        let line_end = LINE_END.len();
        let end = self.position + header.length + size.min(MAX_VALUE) + line_end;
        end.saturating_sub(buffer.len())
    }
}

/// A read or a write as the client sent it.
#[derive(Clone, Debug)]
pub struct Command {
    arguments: Vec<Bytes>,
}

/// A command as it is written to a cache server.
#[derive(Clone, Debug)]
pub struct EncodedCommand {
    /// The command; without its value if that is long.
    pub head: Vec<u8>,
    /// A long value, to be written behind the head from where it lies, and then the end of a line.
    pub long_value: Option<Bytes>,
}

impl Command {
    /// A command of these arguments, at least one: its name, key, id, list of fields, and its value if it is a write.
    ///
    /// # Errors
    /// When a cache server could not use it.
    pub fn new(arguments: Vec<Bytes>) -> Result<Command, CommandError> {
        let is_write = is_write_name(&arguments[0]);
        let argument_count = if is_write { VALUE + 1 } else { FIELDS + 1 };
        if arguments.len() != argument_count {
            return Err(CommandError::ArgumentCount);
        }
        let is_plain =
            |argument: &Bytes| !argument.is_empty() && argument.iter().all(u8::is_ascii_graphic);
        if !arguments[KEY..=FIELDS].iter().all(is_plain) {
            return Err(CommandError::Arguments);
        }
        let command = Command { arguments };
        command.check_fields()?;
        Ok(command)
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

    /// The client's id of the request.
    pub fn id(&self) -> &Bytes {
        &self.arguments[ID]
    }

    /// Whether it is a write.
    pub fn is_write(&self) -> bool {
        self.arguments.len() > VALUE
    }

    /// Its key.
    pub fn key(&self) -> &Bytes {
        &self.arguments[KEY]
    }

    /// What tells this read from others of its class and key: its fields in one order, but for the ignored ones. Empty
    /// for most.
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
        self.fields()
            .split(',')
            .filter_map(|pair| pair.split_once('='))
            .find(|pair| pair.0 == name)
            .map(|pair| pair.1)
    }

    /// The value of a field that is a number, of digits alone; what is more than fits is the largest.
    pub fn number(&self, name: &str) -> Option<Result<u64, CommandError>> {
        let text = self.field(name)?;
        Some(number(text.as_bytes()).ok_or(CommandError::Number))
    }

    /// The command for a cache server: unchanged but for the field `d`, how long the router will wait, in milliseconds.
    pub fn encode(&self, wait_ms: u64) -> EncodedCommand {
        let fields = self.fields_with_wait(wait_ms);
        let long_value = self
            .arguments
            .get(VALUE)
            .filter(|value| value.len() > READ_SIZE);
        let inline_count = match long_value {
            Some(_) => VALUE,
            None => self.arguments.len(),
        };
        let inline_arguments = &self.arguments[..inline_count];
        let arguments_size: usize = inline_arguments
            .iter()
            .map(|argument| argument.len() + ARGUMENT_HEADER_ROOM)
            .sum();
        let mut head = Vec::with_capacity(arguments_size + COMMAND_ROOM);
        // Writing to a vector does not fail.
        let _ = write!(head, "*{}\r\n", self.arguments.len());
        for (place, argument) in inline_arguments.iter().enumerate() {
            let argument = if place == FIELDS {
                fields.as_bytes()
            } else {
                argument
            };
            let _ = write!(head, "${}\r\n", argument.len());
            head.extend_from_slice(argument);
            head.extend_from_slice(b"\r\n");
        }
        if let Some(value) = long_value {
            let _ = write!(head, "${}\r\n", value.len());
        }
        EncodedCommand {
            head,
            long_value: long_value.cloned(),
        }
    }

    fn fields_with_wait(&self, wait_ms: u64) -> String {
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
        fields.join(",")
    }
}

fn is_write_name(name: impl AsRef<[u8]>) -> bool {
    name.as_ref().eq_ignore_ascii_case(b"C.SET")
}
