use {
    super::daemon_cx::DaemonCx,
    crate::{event::Event, link::KeyRing, log_event, settings::SettingsError},
    std::rc::Rc,
    tokio::sync::watch,
};

impl DaemonCx {
    /// Reloads the key files whenever `reload` changes. Open links are not affected.
    pub async fn reload_keys(self: Rc<Self>, peer_keys: Rc<KeyRing>, mut reload: watch::Receiver<u64>) {
        while reload.changed().await.is_ok() {
            match self.read_keys() {
                Ok((peers, operators)) => {
                    peer_keys.replace(peers);
                    self.operator_keys.replace(operators);
                    log_event!(
                        self.log, Event::KeysReloaded;
                        "peer_keys" => peer_keys.count(), "operator_keys" => self.operator_keys.count()
                    );
                }
                Err(e) => log_event!(self.log, Event::KeysNotReloaded; "error" => e.to_string()),
            }
        }
    }

    /// Reads both key files, so that no key is replaced if one of them is invalid.
    fn read_keys(&self) -> Result<(KeyRing, KeyRing), SettingsError> {
        let peers = KeyRing::load_or_unauthenticated(self.settings.peer_key_file.as_deref())?;
        let operators = KeyRing::load_or_unauthenticated(self.settings.operator_key_file.as_deref())?;
        Ok((peers, operators))
    }
}
