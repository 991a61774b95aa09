use {
    super::daemon_cx::DaemonCx,
    crate::{
        clock::Ms,
        event::Event,
        link::LinkError,
        log_event,
        wire::{
            control::{change, Change},
            peer::{frame::Body, Propose, ProposeAnswer},
        },
    },
    bytes::Bytes,
    std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration},
    tokio::{
        sync::mpsc,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Longest time to wait for an answer from the leader.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time before the next control host is asked while the leader is unknown.
const LEADER_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Capacity of the queue of messages to one control host. Messages beyond it are dropped.
const PEER_QUEUE_MESSAGES_MAX: usize = 1024;
/// Shortest and longest time before the next attempt after a message to a control host could not be sent. The time
/// doubles with each failure.
const LINK_RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(200));

impl DaemonCx {
    /// Sends a request to the leader.
    ///
    /// # Errors
    /// No answer came in time, or no host leads.
    pub async fn ask_control(&self, body: Body) -> Result<Body, LinkError> {
        let asked = RefCell::new(String::new());
        let answer = timeout(CONTROL_TIMEOUT, self.ask_leader(body, &asked)).await;
        answer.unwrap_or_else(|_| {
            self.switch_leader(&asked.borrow());
            Err(no_answer())
        })
    }

    /// Sends a request to the leader and waits for its answer for up to the duration of a lease. After a third of that
    /// time, later requests go to another host: the answer may be delayed by a saturated link, or the host may be
    /// lost.
    ///
    /// # Errors
    /// No answer came in time, or no host leads.
    pub async fn ask_within_lease(&self, body: Body) -> Result<Body, LinkError> {
        let ttl = self.settings.lease.ttl;
        let asked = RefCell::new(String::new());
        let switch_host = async {
            sleep(Ms(ttl.0 / 3).as_duration()).await;
            self.switch_leader(&asked.borrow());
            std::future::pending::<()>().await;
        };
        let ask = async {
            tokio::select! {
                answer = self.ask_leader(body, &asked) => answer,
                () = switch_host => Err(no_answer()),
            }
        };
        timeout(ttl.as_duration(), ask)
            .await
            .unwrap_or_else(|_| Err(no_answer()))
    }

    /// Sends a request to a control host, which need not be the leader.
    ///
    /// # Errors
    /// No answer came within `limit`, or the host has no contact with the leader.
    pub async fn ask_control_host(
        &self,
        address: &str,
        body: Body,
        limit: Duration,
    ) -> Result<Body, LinkError> {
        match timeout(limit, self.control_links.request(address, body)).await {
            Ok(Ok(body)) if leader_if_declined(&body).is_none() => Ok(body),
            Ok(Ok(_)) => Err(LinkError::Lost("the control host has no leader".into())),
            Ok(Err(e)) => Err(e),
            Err(_) => Err(no_answer()),
        }
    }

    /// Returns the peer address of the control host that this daemon watches, or `None` if it knows no control host. It
    /// need not be the leader: the daemons spread over all control hosts.
    pub fn watched_host(&self) -> Option<String> {
        let hosts = self.control_hosts.borrow();
        let position = (self.process as usize).wrapping_add(self.watch_offset.get()) % hosts.len().max(1);
        hosts.get(position).cloned()
    }

    /// Returns the control hosts to be watched next: the watched one, followed by all others but the one before it if
    /// `asks_all`. The one before it was watched without an answer.
    pub fn hosts_to_watch(&self, asks_all: bool) -> Vec<String> {
        let hosts = self.control_hosts.borrow();
        let watched = (self.process as usize).wrapping_add(self.watch_offset.get());
        let count = match asks_all {
            true => hosts.len().saturating_sub(1).max(1),
            false => 1,
        };
        let positions = (0..count.min(hosts.len())).map(|i| watched.wrapping_add(i) % hosts.len());
        positions.map(|position| hosts[position].clone()).collect()
    }

    /// Switches to the next control host, unless this daemon has already switched away from `failed`.
    pub fn leave_watched_host(&self, failed: &str) {
        if self.watched_host().is_some_and(|host| host == failed) {
            self.watch_offset.set(self.watch_offset.get().wrapping_add(1));
        }
    }

    /// Watches `host` from now on, if it is a known control host.
    pub fn set_watched_host(&self, host: &str) {
        let hosts = self.control_hosts.borrow();
        if let Some(position) = hosts.iter().position(|known| known == host) {
            let offset = (self.process as usize) % hosts.len();
            self.watch_offset.set(position + hosts.len() - offset);
        }
    }

    /// Asks the host that was last known as the leader. If a host declines, the leader that it names is asked next.
    /// `asked` is set to the host that is being asked. Later requests start with the host that answered.
    async fn ask_leader(&self, body: Body, asked: &RefCell<String>) -> Result<Body, LinkError> {
        loop {
            let address = self.leader.borrow().clone();
            asked.replace(address.clone());
            let answer = self.control_links.request(&address, body.clone()).await;
            let leader = match &answer {
                Ok(body) => leader_if_declined(body),
                Err(LinkError::NotSent(_)) => Some(""),
                Err(LinkError::Lost(_)) => {
                    self.switch_leader(&address);
                    return answer;
                }
            };
            let Some(leader) = leader else {
                self.leader.replace(address);
                return answer;
            };
            if leader.is_empty() || leader == address {
                self.switch_leader(&address);
                sleep(LEADER_RETRY_DELAY).await;
            } else {
                leader.clone_into(&mut self.leader.borrow_mut());
            }
        }
    }

    /// Proposes a change. Returns `None` if it is unknown whether the change was committed.
    pub async fn propose(&self, body: change::Body) -> Option<ProposeAnswer> {
        let change = Change {
            proposed_at_ms: 0,
            body: Some(body),
        };
        match self
            .ask_control(Body::Propose(Propose { change: Some(change) }))
            .await
        {
            Ok(Body::ProposeAnswer(answer)) => (answer.index != 0).then_some(answer),
            Ok(_) | Err(_) => None,
        }
    }

    /// Makes the next control host the presumed leader after `failed` did not answer, unless another request has
    /// already done so.
    fn switch_leader(&self, failed: &str) {
        if *self.leader.borrow() != failed {
            return;
        }
        let hosts = self.control_hosts.borrow();
        let next = match hosts.iter().position(|a| a == failed) {
            Some(position) => position + 1,
            None => 0,
        };
        if let Some(next) = hosts.get(next % hosts.len().max(1)) {
            *self.leader.borrow_mut() = next.clone();
        }
    }

    /// Replaces the list of control hosts by one that a control host sent. The hosts of the settings are kept at its
    /// end, in case all others are lost.
    pub fn update_control_hosts(&self, named: &[String]) {
        if named.is_empty() {
            return;
        }
        let mut hosts = named.to_vec();
        let listed = self.settings.control_hosts.iter().map(ToString::to_string);
        hosts.extend(listed.filter(|a| !named.contains(a)));
        if *self.control_hosts.borrow() != hosts {
            log_event!(self.log, Event::ControlHostsLearnt; "hosts" => hosts.join(" "));
            *self.control_hosts.borrow_mut() = hosts;
        }
    }

    /// Sends the messages of the control loop, with one task and one bounded queue for each control host.
    pub async fn send_control_messages(self: Rc<Self>, mut outbox: mpsc::Receiver<(String, Bytes)>) {
        let queues: RefCell<HashMap<String, mpsc::Sender<Bytes>>> = RefCell::default();
        while let Some((address, message)) = outbox.recv().await {
            let mut queues = queues.borrow_mut();
            let queue = queues.entry(address).or_insert_with_key(|address| {
                let (tx, rx) = mpsc::channel(PEER_QUEUE_MESSAGES_MAX);
                spawn_local(self.clone().send_to_control_host(address.clone(), rx));
                tx
            });
            // If the queue is full the message is dropped. The consensus protocol sends it again.
            let _ = queue.try_send(message);
        }
    }

    async fn send_to_control_host(self: Rc<Self>, address: String, mut queue: mpsc::Receiver<Bytes>) {
        let (shortest, longest) = LINK_RETRY_DELAYS;
        let mut pause = shortest;
        while let Some(message) = queue.recv().await {
            if self
                .control_links
                .send(&address, Body::Control(message))
                .await
                .is_ok()
            {
                pause = shortest;
                continue;
            }
            sleep(pause).await;
            pause = longest.min(pause * 2);
            // Messages that were queued during the failure are out of date.
            while queue.try_recv().is_ok() {}
        }
    }
}

fn no_answer() -> LinkError {
    LinkError::Lost("no answer in time".into())
}

/// Returns the leader that a control host named when it declined a request, or an empty string if it named none.
/// Returns `None` if the request was not declined.
fn leader_if_declined(body: &Body) -> Option<&str> {
    match body {
        Body::OpenSessionAnswer(a) if a.declined => Some(&a.leader),
        Body::RenewAnswer(a) if a.declined => Some(&a.leader),
        Body::ProposeAnswer(a) if a.declined => Some(&a.leader),
        Body::InForceAnswer(a) if !a.known => Some(&a.leader),
        Body::MembersAnswer(a) if a.declined => Some(&a.leader),
        Body::WatchAnswer(a) if a.declined => Some(""),
        Body::StateAnswer(a) if a.declined => Some(""),
        _ => None,
    }
}
