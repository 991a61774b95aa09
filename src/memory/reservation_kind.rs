/// What a reservation is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationKind {
    /// The body of a request that is being received. It may wait and be refused: the request has not run.
    Body,
    /// A request that waits or runs, or a response that is complete. It is neither made to wait nor refused.
    Kept,
    /// A response that is being read from a server. It may wait and is not refused.
    Response,
    /// A response that is being read from a server for another daemon, which fetches it once it has room. It may wait and
    /// is not refused.
    ForwardedResponse,
    /// A response that is being written to a caller. Its bytes are accounted for by another reservation, and its end frees them.
    /// It may be refused: its connection is then closed.
    Writing,
}

/// State of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationState {
    /// The reservation has what it asked for.
    Held,
    /// The reservation waits for more bytes.
    Waiting,
    /// The reservation has to end.
    Refused,
}
