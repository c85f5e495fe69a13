//! Reading and writing of RESP2 frames.

use std::io::BufRead;

/// Reads one frame and returns its bytes; `None` if the stream ends before or within the frame.
pub fn read_frame(from: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut frame = Vec::new();
    let mut missing_elements = 1;
    while missing_elements > 0 {
        let start = frame.len();
        if from.read_until(b'\n', &mut frame).ok()? == 0 || !frame.ends_with(b"\r\n") {
            return None;
        }
        let line = String::from_utf8_lossy(&frame[start..frame.len() - 2]).into_owned();
        missing_elements -= 1;
        let count = || line[1..].parse::<i64>().expect("malformed RESP length");
        match line.as_bytes()[0] {
            b'*' => missing_elements += count().max(0),
            b'$' if count() >= 0 => {
                let mut body = vec![0; count() as usize + 2];
                from.read_exact(&mut body).ok()?;
                frame.extend_from_slice(&body);
            }
            _ => {}
        }
    }
    Some(frame)
}

/// Returns the arguments of a command frame; the first one is the command's name.
pub(crate) fn arguments(frame: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(frame).into_owned();
    text.split("\r\n")
        .skip(2)
        .step_by(2)
        .map(str::to_string)
        .collect()
}

/// Encodes a command as a frame.
pub fn encode_command(arguments: &[&str]) -> Vec<u8> {
    let mut frame = format!("*{}\r\n", arguments.len());
    for argument in arguments {
        frame.push_str(&format!("${}\r\n{argument}\r\n", argument.len()));
    }
    frame.into_bytes()
}

/// Returns a cache server's reply with `text` as the value: a hit without a load report.
pub fn value_reply(text: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{text}\r\n$3\r\nhit\r\n$-1\r\n", text.len()).into_bytes()
}
