use {
    super::{Refused, Reservation, SMALL_BYTES},
    bytes::Bytes,
};

/// A body that is being received, with the reservation that accounts for it.
///
/// The buffer grows by doubling, so that many small pieces cost no more than twice their bytes, and never beyond the
/// length that was announced.
#[derive(Debug)]
pub struct ReservedBuf {
    reservation: Reservation,
    buf: Vec<u8>,
    /// Length of the whole body, if it was announced.
    length: Option<usize>,
}

impl ReservedBuf {
    /// Returns an empty buffer for a body of `length` bytes, or of an unknown length.
    pub fn new(reservation: Reservation, length: Option<usize>) -> Self {
        Self {
            reservation,
            buf: Vec::new(),
            length,
        }
    }

    /// Returns the reservation.
    pub fn reservation(&self) -> &Reservation {
        &self.reservation
    }

    /// Reserves the memory for the whole body if its length was announced, so that bodies that are partly received do not
    /// wait for each other.
    ///
    /// # Errors
    /// Returns an error if the reservation was refused.
    pub async fn reserve_length(&mut self) -> Result<(), Refused> {
        if let Some(length) = self.length {
            self.reservation.reserve(length).await?;
            self.buf.reserve_exact(length);
        }
        Ok(())
    }

    /// Appends `data`. Waits while the budget has no room.
    ///
    /// # Errors
    /// Returns an error if the reservation was refused.
    pub async fn push(&mut self, data: &[u8]) -> Result<(), Refused> {
        self.reservation.record_progress(data.len());
        let needed = self.buf.len() + data.len();
        if needed > self.buf.capacity() {
            let capacity = self.next_capacity(needed);
            self.reservation.reserve(capacity - self.buf.capacity()).await?;
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
        self.reservation.keep(self.buf.into())
    }
}
