//! Digests, by which the same bytes are recognized when they come again.

/// A digest of bytes. It does not depend on how they are split. Other bytes have the same digest with
/// a probability of about 2^-32.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    checksum: u32,
    length: usize,
}

impl Digest {
    /// The digest of these bytes.
    pub fn of(bytes: &[u8]) -> Digest {
        let mut digest = Digest::default();
        digest.add(bytes);
        digest
    }

    /// Adds further bytes.
    pub fn add(&mut self, bytes: &[u8]) {
        self.checksum = crc32c::crc32c_append(self.checksum, bytes);
        self.length += bytes.len();
    }
}
