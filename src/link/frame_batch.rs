use {
    super::handshake::FrameStream,
    crate::wire::peer::Frame,
    futures_util::{stream::SplitSink, SinkExt},
    std::io,
    tokio::sync::mpsc,
};

/// Sends `first` and the frames queued behind it, and flushes once.
///
/// # Errors
/// Returns an error if the link has failed.
pub(super) async fn send_queued(
    sink: &mut SplitSink<FrameStream, Frame>,
    first: Frame,
    rx: &mut mpsc::Receiver<Frame>,
) -> io::Result<()> {
    sink.feed(first).await?;
    while let Ok(frame) = rx.try_recv() {
        sink.feed(frame).await?;
    }
    sink.flush().await
}
