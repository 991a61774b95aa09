use {
    super::{local_server::LocalServer, node::Node, slot_gate::SlotGate},
    crate::{
        clock::Ms,
        control::Server,
        edge::{self, HttpFault, HttpRequest, HttpResponse, ServerClient, ServerLimits, ServerOrders},
        event::Event,
        log_event,
    },
    http::StatusCode,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{task::spawn_local, time::sleep},
};

/// A server that has not announced itself for this long is taken for lost.
const ANNOUNCE_MAX_AGE: Ms = Ms(10_000);
/// Time between two looks at the age of announcements.
const AGE_CHECK_PAUSE: Duration = Duration::from_millis(500);

impl Node {
    /// Serves a request of a local backend server.
    pub async fn serve_server(self: Rc<Self>, request: Result<HttpRequest, HttpFault>) -> HttpResponse {
        let Ok(request) = request else {
            return edge::plain_response(
                StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too large or incomplete",
            );
        };
        let handled = match (request.method.as_str(), request.uri.path()) {
            ("POST", "/announce") => {
                edge::read_announce(&request.body, &self.settings.services).and_then(|s| self.announce(s))
            }
            ("POST", "/leave") => edge::read_leave(&request.body)
                .map(|l| self.leave(&l.service, &l.address.to_string(), &l.incarnation)),
            _ => {
                return edge::plain_response(
                    StatusCode::NOT_FOUND,
                    "POST /announce or POST /leave is expected",
                )
            }
        };
        match handled {
            Ok(()) => edge::json_response(StatusCode::OK, &serde_json::json!({ "host": self.settings.host })),
            Err(reason) => edge::plain_response(StatusCode::BAD_REQUEST, &reason),
        }
    }

    fn announce(self: &Rc<Self>, announced: Server) -> Result<(), String> {
        let now = self.clock.now();
        if let Some(known) = self.server(&announced.service, &announced.address) {
            let unchanged = Server {
                leaving: false,
                ..known.announced.clone()
            } == announced;
            if unchanged {
                known.last_announce.set(now);
                return Ok(());
            }
            self.remove_server(&known, "it was started anew");
            let (node, known) = (self.clone(), known.clone());
            spawn_local(async move { node.note_crash(&known).await });
        }
        if self.is_taken_out(&announced.address) {
            return Ok(());
        }
        let limits = ServerLimits {
            answer_bytes: self.settings.caller_limits.answer_bytes,
            idle_connections: announced.slots.min(announced.connections.saturating_sub(1)) as usize,
        };
        let server = LocalServer {
            client: ServerClient::new(&announced.address, limits, self.clock.clone(), self.lease.clone()),
            gate: SlotGate::new(announced.slots, self.clock.clone()),
            lost: RefCell::default(),
            orders: ServerOrders::start(&announced.address).map_err(|e| e.to_string())?,
            last_announce: Cell::new(now),
            leaving: Cell::new(false),
            grants: RefCell::default(),
            running: RefCell::default(),
            releases: RefCell::default(),
            lease_order_waits: Cell::default(),
            announced,
        };
        log_event!(
            self.log, Event::ServerAnnounced;
            "service" => &server.announced.service, "server" => &server.announced.address,
            "incarnation" => &server.announced.incarnation, "slots" => server.announced.slots
        );
        self.servers.borrow_mut().push(Rc::new(server));
        self.servers_changed.notify_one();
        Ok(())
    }

    /// A server that leaves keeps its ranges until they have moved, but takes no new ones.
    fn leave(&self, service: &str, address: &str, incarnation: &str) {
        if let Some(server) = self.server(service, address) {
            if server.announced.incarnation == incarnation {
                server.leaving.set(true);
                self.servers_changed.notify_one();
            }
        }
    }

    /// Forgets a local server that is lost.
    pub fn remove_server(&self, lost: &Rc<LocalServer>, reason: &str) {
        lost.client.stop();
        let count = self.servers.borrow().len();
        self.servers
            .borrow_mut()
            .retain(|server| !Rc::ptr_eq(server, lost));
        if self.servers.borrow().len() < count {
            log_event!(
                self.log, Event::ServerLost;
                "service" => &lost.announced.service, "server" => &lost.announced.address, "reason" => reason
            );
            self.servers_changed.notify_one();
        }
    }

    /// Removes servers that stopped announcing themselves.
    pub async fn watch_announcements(self: Rc<Self>) {
        loop {
            sleep(AGE_CHECK_PAUSE).await;
            let now = self.clock.now();
            let servers = self.servers.borrow().clone();
            for server in servers {
                if server.last_announce.get() + ANNOUNCE_MAX_AGE < now {
                    self.remove_server(&server, "it stopped announcing itself");
                }
            }
        }
    }
}
