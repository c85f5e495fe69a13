//! Frames, and bytes that come in pieces.

use bytes::BytesMut;
use router_runtime::resp::RespError;

/// Arguments as an array of bulk strings.
pub fn framed(arguments: &[Vec<u8>]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", arguments.len()).into_bytes();
    for argument in arguments {
        out.extend_from_slice(format!("${}\r\n", argument.len()).as_bytes());
        out.extend_from_slice(argument);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// What a reader takes from bytes that come in pieces, each as long as the next of `cuts` says.
pub fn in_pieces<T>(
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
