use {
    super::{Hold, Refused, SMALL_BYTES},
    bytes::Bytes,
};

/// A body that is being received, with the hold that accounts for it.
///
/// The buffer grows by doubling, so that many small pieces cost no more than twice their bytes, and never beyond the
/// length that was announced.
#[derive(Debug)]
pub struct HeldBuf {
    hold: Hold,
    buf: Vec<u8>,
    /// Length of the whole body, if it was announced.
    length: Option<usize>,
}

impl HeldBuf {
    /// Returns an empty buffer for a body of `length` bytes, or of an unknown length.
    pub fn new(hold: Hold, length: Option<usize>) -> Self {
        Self {
            hold,
            buf: Vec::new(),
            length,
        }
    }

    /// Returns the hold.
    pub fn hold(&self) -> &Hold {
        &self.hold
    }

    /// Appends `data`. Waits while the budget has no room.
    ///
    /// # Errors
    /// Returns an error if the hold was refused.
    pub async fn push(&mut self, data: &[u8]) -> Result<(), Refused> {
        self.hold.record_progress(data.len());
        let needed = self.buf.len() + data.len();
        if needed > self.buf.capacity() {
            let capacity = self.next_capacity(needed);
            self.hold.reserve(capacity - self.buf.capacity()).await?;
            self.buf.reserve_exact(capacity - self.buf.len());
        }
        self.buf.extend_from_slice(data);
        Ok(())
    }

    fn next_capacity(&self, needed: usize) -> usize {
        match self.length {
            // A small body does not wait halfway.
            Some(length) if length <= SMALL_BYTES => length.max(needed),
            Some(length) => needed.max((2 * self.buf.capacity()).min(length)),
            None => needed.max(2 * self.buf.capacity()),
        }
    }

    /// Returns the body. Its bytes are accounted for until the last clone of them is dropped.
    pub fn finish(self) -> Bytes {
        self.hold.keep(self.buf.into())
    }
}
