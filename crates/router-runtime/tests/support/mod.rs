//! Frames, and bytes that come in pieces.

use bytes::BytesMut;
use router_runtime::resp::RespError;

/// Arguments as an array of bulk strings.
pub fn encode_array(arguments: &[Vec<u8>]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", arguments.len()).into_bytes();
    for argument in arguments {
        out.extend_from_slice(format!("${}\r\n", argument.len()).as_bytes());
        out.extend_from_slice(argument);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// What a reader takes from bytes that come in pieces, each as long as the next of `cuts` says.
pub fn feed_in_chunks<T>(
    text: &[u8],
    chunk_sizes: &[usize],
    mut next: impl FnMut(&mut BytesMut) -> Result<Option<T>, RespError>,
) -> Result<Vec<T>, RespError> {
    let (mut buffer, mut taken, mut rest) = (BytesMut::new(), Vec::new(), text);
    let mut chunk_sizes = chunk_sizes.iter().cycle();
    while !rest.is_empty() {
        let (chunk, after) = rest.split_at(rest.len().min(*chunk_sizes.next().expect("a cut")));
        buffer.extend_from_slice(chunk);
        rest = after;
        while let Some(item) = next(&mut buffer)? {
            taken.push(item);
        }
    }
    Ok(taken)
}
