use tokio::sync::watch;

/// Stops listeners that are served until the process ends, such as those of servers, operators and probes. The process waits for
/// the answers on their connections, while new connections are still accepted: a server may need the daemon while an
/// operator reads slowly.
#[derive(Debug, Default)]
pub struct DeliveryStop {
    /// Stops the connections that were open at the stop.
    open: watch::Sender<bool>,
    /// Stops the listeners and the connections that were accepted since.
    late: watch::Sender<bool>,
}

impl DeliveryStop {
    /// Returns the stops of a listener, in their order.
    pub(super) fn subscribe(&self) -> [watch::Receiver<bool>; 2] {
        [self.open.subscribe(), self.late.subscribe()]
    }

    /// Ends the connections that are open now. Returns once their peers have received their answers.
    pub async fn end_open(&self) {
        end(&self.open).await;
    }

    /// Closes the listeners and ends the connections that were accepted since [`Self::end_open`]. Returns once their peers have
    /// received their answers.
    pub async fn end_late(&self) {
        end(&self.late).await;
    }
}

/// Stops the connections that hold a receiver, and waits until they have ended.
async fn end(stop: &watch::Sender<bool>) {
    stop.send_replace(true);
    stop.closed().await;
}
