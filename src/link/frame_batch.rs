use {
    super::FrameCodec,
    crate::wire::peer::Frame,
    futures_util::SinkExt,
    std::io,
    tokio::{net::tcp::OwnedWriteHalf, sync::mpsc},
    tokio_util::codec::FramedWrite,
};

/// Sender of the queue of a link. The frames are boxed because a queue allocates its slots in blocks, and most links
/// have an empty queue: a block for frames themselves takes more memory than all other state of an idle link.
pub(super) type FrameSender = mpsc::Sender<Box<Frame>>;
/// Receiver of the queue of a link.
pub(super) type FrameReceiver = mpsc::Receiver<Box<Frame>>;

/// The writing half of an accepted link.
pub(super) type AnswerSink = FramedWrite<OwnedWriteHalf, FrameCodec>;

/// Sends `first` and the frames queued behind it, and flushes once.
///
/// # Errors
/// Returns an error if the link has failed.
pub(super) async fn send_queued(
    sink: &mut AnswerSink,
    first: Box<Frame>,
    rx: &mut FrameReceiver,
) -> io::Result<()> {
    sink.feed(*first).await?;
    while let Ok(frame) = rx.try_recv() {
        sink.feed(*frame).await?;
    }
    sink.flush().await
}
