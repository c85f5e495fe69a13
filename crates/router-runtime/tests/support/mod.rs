//! Encodes frames and feeds bytes to a reader in chunks.

use bytes::BytesMut;
use router_runtime::resp::RespError;

/// Encodes arguments as an array of bulk strings.
pub fn encode_array(arguments: &[Vec<u8>]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", arguments.len()).into_bytes();
    for argument in arguments {
        out.extend_from_slice(format!("${}\r\n", argument.len()).as_bytes());
        out.extend_from_slice(argument);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// Returns what a reader takes from `text`, which is fed to it in chunks whose sizes cycle through
/// `chunk_sizes`.
pub fn feed_in_chunks<T>(
    text: &[u8],
    chunk_sizes: &[usize],
    mut next: impl FnMut(&mut BytesMut) -> Result<Option<T>, RespError>,
) -> Result<Vec<T>, RespError> {
    let (mut buffer, mut taken, mut rest) = (BytesMut::new(), Vec::new(), text);
    let mut chunk_sizes = chunk_sizes.iter().cycle();
    while !rest.is_empty() {
        let (chunk, after) = rest.split_at(
            rest.len()
                .min(*chunk_sizes.next().expect("at least one chunk size")),
        );
        buffer.extend_from_slice(chunk);
        rest = after;
        while let Some(item) = next(&mut buffer)? {
            taken.push(item);
        }
    }
    Ok(taken)
}
