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

/// Longest time to wait for an answer of a control host.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest time to wait for a part of the state, which takes seconds over a full link.
const STATE_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause before the next control host is asked while none leads.
const LEADER_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Messages that wait for the link to one control host before further ones are dropped.
const PEER_QUEUE_MESSAGES_MAX: usize = 1024;
/// Pauses after a link to a control host could not be opened, shortest and longest.
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

    /// Sends a request to the leader and waits for its answer as long as a lease is good for. After a third of that
    /// time, later requests go to another host: this one may be on its way over a full link, or its host may be lost.
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

    /// Sends a request to the control host that this daemon follows, which need not lead. The daemons spread over all
    /// of them.
    ///
    /// # Errors
    /// No answer came in time, or the host is out of touch with the leader.
    pub async fn ask_watched_host(&self, body: Body) -> Result<Body, LinkError> {
        let Some(address) = self.watched_host() else {
            return Err(LinkError::NotSent("there is no control host".into()));
        };
        self.ask_control_host(&address, body, STATE_TIMEOUT).await
    }

    /// Sends a request to a control host that need not lead.
    ///
    /// # Errors
    /// No answer came within `limit`, or the host is out of touch with the leader.
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

    /// Returns the peer address of the control host that this daemon follows now.
    pub fn watched_host(&self) -> Option<String> {
        let hosts = self.control_hosts.borrow();
        let position = (self.process as usize).wrapping_add(self.watch_offset.get()) % hosts.len().max(1);
        hosts.get(position).cloned()
    }

    /// Follows the next control host, unless this daemon has turned away from `failed` already.
    pub fn leave_watched_host(&self, failed: &str) {
        if self.watched_host().is_some_and(|host| host == failed) {
            self.watch_offset.set(self.watch_offset.get().wrapping_add(1));
        }
    }

    /// Follows `host` from here on, if it is known.
    pub fn follow_control_host(&self, host: &str) {
        let hosts = self.control_hosts.borrow();
        if let Some(position) = hosts.iter().position(|known| known == host) {
            let offset = (self.process as usize) % hosts.len();
            self.watch_offset.set(position + hosts.len() - offset);
        }
    }

    /// Asks the host that led last and follows the word of those that decline. `asked` is set to the host that is
    /// being asked. Who answers is asked first from then on.
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

    /// Proposes a change. `None`: it is not known whether it was committed.
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

    /// Turns away from a host that failed, unless another request has done so already.
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

    /// Takes the control hosts that one of them has named. Those of the settings stay known behind them, for the
    /// case that all others are lost.
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

    /// Sends the messages of the control duty, over one task and one bounded ring for each control host.
    pub async fn send_control_messages(self: Rc<Self>, mut outbox: mpsc::Receiver<(String, Bytes)>) {
        let queues: RefCell<HashMap<String, mpsc::Sender<Bytes>>> = RefCell::default();
        while let Some((address, message)) = outbox.recv().await {
            let mut queues = queues.borrow_mut();
            let queue = queues.entry(address).or_insert_with_key(|address| {
                let (tx, rx) = mpsc::channel(PEER_QUEUE_MESSAGES_MAX);
                spawn_local(self.clone().send_to_control_host(address.clone(), rx));
                tx
            });
            // What does not fit is dropped; the agreement sends again.
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
            // Messages that waited so long are out of date.
            while queue.try_recv().is_ok() {}
        }
    }
}

fn no_answer() -> LinkError {
    LinkError::Lost("no answer in time".into())
}

/// Returns the leader that a control host names as it declines a request; empty if it knows none.
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
