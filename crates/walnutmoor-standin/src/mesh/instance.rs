/*!
An instance of a service, with slots, heartbeats and failure modes.

It writes HTTP to the socket directly, because HTTP libraries can't produce
most of its malformed responses.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::HeaderMap;
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    task::AbortHandle,
    time::Instant,
};
use walnutmoor_core::{
    id::Service,
    lifetime::{Lifetime, Report, StartTime},
};
use walnutmoor_platform::{header, standin};

pub use self::endless::Part;
use self::{fault::Fault, machine::Machine, quirk::Quirks};
use super::caller;

mod endless;
mod fault;
mod machine;
mod quirk;

/// How an instance handles requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behavior {
    /// Runs requests and responds to them.
    Healthy,
    /// Runs requests and closes the connection before the response.
    DropsResponses,
    /// Rejects requests with 503, marked as not run.
    Sheds,
    /// Runs requests and responds with 500.
    Fails,
    /// Runs requests and responds with this status, written with three digits
    /// at least.
    FailsWith(u16),
    /// Runs requests and sends bytes without end in this part of a response,
    /// until the connection is closed.
    SendsWithoutEnd(Part),
    /// Sends an interim response with this status before the real one.
    SendsInterim(u16),
    /// Sends a second, unsolicited response shortly after the first.
    RespondsTwice,
    /// Sends half of the announced body and closes the connection.
    TruncatesResponses,
    /// Responds without a signature.
    OmitsSignature,
    /// Runs requests and never responds.
    NeverResponds,
    /// Closes a connection that was idle when the next request arrives on
    /// it; that request is not run.
    ResetsIdle,
}

/// How an instance starts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Startup {
    /// Whether it leaves its start time out of what it says of itself.
    pub omits_start_time: bool,
    /// The time from listening to its first heartbeat.
    pub silence: Duration,
    /// How long it takes to reject a request for another instance.
    pub rejection_delay: Duration,
}

/// An instance of a service. Dropping it doesn't stop its tasks; see
/// [`Instance::stop`].
#[derive(Debug)]
pub struct Instance {
    lifetime: Mutex<Lifetime>,
    service: Service,
    slots: u32,
    address: SocketAddr,
    control: SocketAddr,
    startup: Startup,
    behavior: Mutex<Behavior>,
    run_ms: AtomicU64,
    /// The length of a padded response body, in bytes.
    response_bytes: AtomicUsize,
    omits_request: AtomicBool,
    has_long_tail: AtomicBool,
    held: Mutex<BTreeSet<String>>,
    sequence: AtomicU64,
    draining: AtomicBool,
    heartbeats_stopped: AtomicBool,
    heartbeat_ms: AtomicU64,
    /// The value of the header that names its limit, if any.
    named_limit: Mutex<Option<String>>,
    says_leaving: AtomicBool,
    /// What its health check says, if not the truth.
    fake_health: Mutex<Option<bool>>,
    runs: Mutex<BTreeMap<String, u32>>,
    arrivals: Mutex<Vec<Arrival>>,
    aborted_runs: AtomicU64,
    connections: AtomicU64,
    callers: Mutex<Vec<String>>,
    accounts: Mutex<Vec<Vec<String>>>,
    has_seen_key: AtomicBool,
    tasks: Mutex<Vec<AbortHandle>>,
    fault: Fault,
    machine: Machine,
    /// The call that each run makes, if any.
    call: Mutex<Option<NestedCall>>,
    quirks: Mutex<Option<Arc<Quirks>>>,
}

/// A call that an instance makes in each of its runs.
#[derive(Clone, Debug)]
pub struct NestedCall {
    /// Where its node accepts calls.
    pub node: SocketAddr,
    /// The host of the route.
    pub host: String,
    /// The path.
    pub path: String,
}

/// A request that reached an instance.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The id of the attempt, or empty.
    pub id: String,
    /// The request body.
    pub body: String,
    /// The id of the instance.
    pub instance: String,
    /// The instance's service.
    pub service: Service,
    /// When it arrived.
    pub at: Instant,
    /// The time left until its caller stops waiting, in milliseconds.
    pub time_left: Option<u64>,
    /// False if the instance rejected it.
    pub ran: bool,
    /// When its run ended; `None` while it runs.
    pub ended_at: Option<Instant>,
}

impl Arrival {
    /// True if it was running at this time.
    pub fn is_running(&self, at: Instant) -> bool {
        let ended_later = self.ended_at.is_none_or(|ended| ended >= at);
        self.ran && self.at <= at && ended_later
    }
}

/// The default interval between heartbeats, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 200;

/// The interval between checks for a released run or a free address.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Retries to bind an address in use, [`POLL_INTERVAL`] apart.
const MAX_BIND_RETRIES: u32 = 2_000;

/// The idle time after which [`Behavior::ResetsIdle`] closes a connection.
const IDLE_TIMEOUT: Duration = Duration::from_millis(600);

impl Instance {
    /// Starts an instance that listens on `address` and sends heartbeats to
    /// its node's `control` address.
    ///
    /// # Panics
    ///
    /// If the address stays in use.
    pub async fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        control: SocketAddr,
    ) -> Arc<Instance> {
        let startup = Startup::default();
        Instance::start_as(id, service, address, control, startup).await
    }

    /// Like [`Instance::start`], in this way.
    ///
    /// # Panics
    ///
    /// If the address stays in use.
    pub async fn start_as(
        id: &str,
        service: &str,
        address: SocketAddr,
        control: SocketAddr,
        startup: Startup,
    ) -> Arc<Instance> {
        let listener = listen(address).await;
        let instance = Arc::new(Instance {
            lifetime: Mutex::new(startup.lifetime(id)),
            service: service.parse().expect("a service name"),
            slots: 8,
            address,
            control,
            startup,
            behavior: Mutex::new(Behavior::Healthy),
            run_ms: AtomicU64::new(5),
            response_bytes: AtomicUsize::new(0),
            omits_request: AtomicBool::new(false),
            has_long_tail: AtomicBool::new(false),
            held: Mutex::default(),
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            heartbeats_stopped: AtomicBool::new(false),
            heartbeat_ms: AtomicU64::new(HEARTBEAT_INTERVAL_MS),
            named_limit: Mutex::default(),
            says_leaving: AtomicBool::new(false),
            fake_health: Mutex::default(),
            runs: Mutex::default(),
            arrivals: Mutex::default(),
            aborted_runs: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            callers: Mutex::default(),
            accounts: Mutex::default(),
            has_seen_key: AtomicBool::new(false),
            tasks: Mutex::default(),
            fault: Fault::default(),
            machine: Machine::default(),
            call: Mutex::default(),
            quirks: Mutex::default(),
        });
        instance.clone().spawn_tasks(listener);
        instance
    }

    /// Starts to accept connections and to send heartbeats.
    fn spawn_tasks(self: Arc<Instance>, listener: TcpListener) {
        let accept = tokio::spawn(accept(self.clone(), listener));
        let heartbeats = tokio::spawn(send_heartbeats(self.clone()));
        self.track_tasks([accept.abort_handle(), heartbeats.abort_handle()]);
    }

    /// Adds tasks to those that [`Instance::abort_tasks`] aborts.
    fn track_tasks(&self, tasks: impl IntoIterator<Item = AbortHandle>) {
        let mut tracked = self.tasks.lock().expect("no holder panics");
        tracked.retain(|task| !task.is_finished());
        tracked.extend(tasks);
    }

    /// Stops the instance at once, aborts its runs and frees its address.
    pub fn stop(&self) {
        self.fault.disable_restart();
        self.abort_tasks();
    }

    fn abort_tasks(&self) {
        for task in self.tasks.lock().expect("no holder panics").drain(..) {
            task.abort();
        }
    }

    /// All requests that reached it, in order of arrival.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("no holder panics").clone()
    }

    /// Records a request that arrived.
    fn record_arrival(&self, request: &caller::Request, ran: bool) {
        let id = header::attempt(&request.headers).unwrap_or_default();
        let arrival = Arrival {
            id: id.to_string(),
            body: request.body.clone(),
            instance: self.id(),
            service: self.service.clone(),
            at: Instant::now(),
            time_left: header::time_left(&request.headers).map(|t| t.0),
            ran,
            ended_at: None,
        };
        let mut arrivals = self.arrivals.lock().expect("no holder panics");
        arrivals.push(arrival);
    }

    /// Records the end of the last run of an attempt.
    fn record_end(&self, attempt: &str) {
        let mut arrivals = self.arrivals.lock().expect("no holder panics");
        let last = arrivals.iter_mut().rev().find(|a| a.id == attempt);
        if let Some(arrival) = last {
            arrival.ended_at = Some(Instant::now());
        }
    }

    /// Its current lifetime.
    pub fn lifetime(&self) -> Lifetime {
        self.lifetime.lock().expect("no holder panics").clone()
    }

    fn id(&self) -> String {
        self.lifetime().id
    }

    /// The name of its service.
    pub fn service(&self) -> String {
        self.service.to_string()
    }

    /// Sets how it handles requests.
    pub fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock().expect("no holder panics") = behavior;
    }

    /// Makes it reject requests and repeat responses late from now on, as this
    /// seed determines, and sometimes send a body without end or a status that
    /// promises that a request has not run.
    pub fn set_quirks(&self, seed: u64) {
        let quirks = Some(Arc::new(Quirks::new(seed)));
        *self.quirks.lock().expect("no holder panics") = quirks;
    }

    /// Ends what [`Instance::set_quirks`] began.
    pub fn clear_quirks(&self) {
        *self.quirks.lock().expect("no holder panics") = None;
    }

    fn quirks(&self) -> Option<Arc<Quirks>> {
        self.quirks.lock().expect("no holder panics").clone()
    }

    /// Sets how long a run takes.
    pub fn set_run_time(&self, time: Duration) {
        self.run_ms.store(time.as_millis() as u64, Ordering::Relaxed);
    }

    /// Pads the bodies of responses to this length, in bytes.
    pub fn set_response_bytes(&self, length: usize) {
        self.response_bytes.store(length, Ordering::Relaxed);
    }

    /// Leaves the body of the request out of the response.
    pub fn omit_request(&self) {
        self.omits_request.store(true, Ordering::Relaxed);
    }

    /// Lets some runs last up to nine seconds and others a fraction of one,
    /// depending on the attempt id.
    pub fn set_long_tail(&self) {
        self.has_long_tail.store(true, Ordering::Relaxed);
    }

    /// Delays the end of an attempt's run until [`Instance::release`].
    pub fn hold(&self, attempt: &str) {
        let mut held = self.held.lock().expect("no holder panics");
        held.insert(attempt.to_string());
    }

    /// Lets a held run end.
    pub fn release(&self, attempt: &str) {
        let mut held = self.held.lock().expect("no holder panics");
        held.remove(attempt);
    }

    fn is_held(&self, attempt: &str) -> bool {
        let held = self.held.lock().expect("no holder panics");
        held.contains(attempt)
    }

    /// Waits for the duration of a run.
    async fn simulate_work(&self, attempt: &str) {
        let run_ms = match self.has_long_tail.load(Ordering::Relaxed) {
            true => long_tailed_run_ms(attempt),
            false => self.run_ms.load(Ordering::Relaxed),
        };
        self.machine.work(Duration::from_millis(run_ms)).await;
        while self.is_held(attempt) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Makes a call in each run from now on. The run fails if the call does.
    pub fn call_in_runs(&self, call: NestedCall) {
        *self.call.lock().expect("no holder panics") = Some(call);
    }

    /// Makes the call of a run. False if it fails.
    async fn make_call(&self, attempt: &str, headers: &HeaderMap) -> bool {
        let call = self.call.lock().expect("no holder panics").clone();
        let Some(NestedCall { node, host, path }) = call else {
            return true;
        };
        let left = header::time_left(headers).map_or(3_000, |left| left.0);
        let headers = [
            (http::header::HOST, host),
            (header::ATTEMPT, format!("{attempt}.1")),
            (header::TIME_LEFT, left.to_string()),
        ];
        let (method, body) = (http::Method::POST, String::new());
        let answer = caller::send(node, method, &path, &headers, body).await;
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Reports itself as not ready from now on, and finishes its runs. Returns
    /// the status of the first such report, or 0 if none came back.
    pub async fn drain(&self) -> u16 {
        self.draining.store(true, Ordering::Relaxed);
        self.send_heartbeat().await
    }

    /// Names a limit of requests per second in its responses, or stops naming
    /// one. The text is sent as it is.
    pub fn name_limit(&self, limit: Option<&str>) {
        let mut named = self.named_limit.lock().expect("no holder panics");
        *named = limit.map(str::to_string);
    }

    /// True if it names a limit.
    pub fn names_limit(&self) -> bool {
        self.named_limit.lock().expect("no holder panics").is_some()
    }

    /// Says in its responses that it is leaving. Its heartbeats and health
    /// checks don't change.
    pub fn say_leaving(&self) {
        self.says_leaving.store(true, Ordering::Relaxed);
    }

    /// Makes its health check succeed or fail whatever its state is, or tell
    /// the truth again.
    pub fn fake_health(&self, healthy: Option<bool>) {
        *self.fake_health.lock().expect("no holder panics") = healthy;
    }

    /// True if its health check succeeds.
    fn is_healthy(&self) -> bool {
        let fake = *self.fake_health.lock().expect("no holder panics");
        fake.unwrap_or(!self.draining.load(Ordering::Relaxed))
    }

    /// The headers in which it speaks of itself.
    fn notices(&self) -> String {
        let mut headers = String::new();
        let limit = self.named_limit.lock().expect("no holder panics");
        if let Some(limit) = &*limit {
            headers += &format!("{}: {limit}\r\n", header::NAMED_LIMIT);
        }
        if self.says_leaving.load(Ordering::Relaxed) {
            headers += &format!("{}: 1\r\n", header::LEAVING);
        }
        if self.machine.figure().is_some() {
            headers += &self.load_header();
        }
        headers
    }

    /// Sets the interval between its heartbeats, from the next one on.
    pub fn set_heartbeat_interval(&self, interval: Duration) {
        let interval_ms = interval.as_millis() as u64;
        self.heartbeat_ms.store(interval_ms, Ordering::Relaxed);
    }

    /// Stops sending heartbeats.
    pub fn stop_heartbeats(&self) {
        self.heartbeats_stopped.store(true, Ordering::Relaxed);
    }

    /// Stops heartbeats and sends a goodbye. Returns the response status, or
    /// 0 if there was none.
    pub async fn send_goodbye(&self) -> u16 {
        self.heartbeats_stopped.store(true, Ordering::Relaxed);
        self.send_goodbye_of(&self.lifetime()).await
    }

    /// Sends a goodbye, for example of a former lifetime. Returns the response
    /// status, or 0 if there was none.
    pub async fn send_goodbye_of(&self, lifetime: &Lifetime) -> u16 {
        let (method, path, body) = standin::leave(lifetime);
        let sent = caller::send(self.control, method, &path, &[], body);
        sent.await.map_or(0, |response| response.status)
    }

    /// How many times an attempt ran.
    pub fn runs(&self, attempt: &str) -> u32 {
        let runs = self.runs.lock().expect("no holder panics");
        runs.get(attempt).copied().unwrap_or(0)
    }

    /// The number of runs of all attempts.
    pub fn total_runs(&self) -> u32 {
        self.runs.lock().expect("no holder panics").values().sum()
    }

    /// The number of connections that it has accepted.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    /// The number of runs whose connection was closed before they ended.
    pub fn aborted_runs(&self) -> u64 {
        self.aborted_runs.load(Ordering::Relaxed)
    }

    /// The account headers of each request that ran.
    pub fn accounts(&self) -> Vec<Vec<String>> {
        self.accounts.lock().expect("no holder panics").clone()
    }

    /// True if any request that ran contained a client account's key.
    pub fn has_seen_key(&self) -> bool {
        self.has_seen_key.load(Ordering::Relaxed)
    }

    fn record_account(&self, headers: &HeaderMap) {
        let all = headers.get_all(header::ACCOUNT).iter();
        let text = |value: &http::HeaderValue| {
            String::from_utf8_lossy(value.as_bytes()).into_owned()
        };
        let mut accounts = self.accounts.lock().expect("no holder panics");
        accounts.push(all.map(text).collect());
        if headers.contains_key(header::KEY) {
            self.has_seen_key.store(true, Ordering::Relaxed);
        }
    }

    /// The caller header of each request that ran, or empty strings.
    pub fn callers(&self) -> Vec<String> {
        self.callers.lock().expect("no holder panics").clone()
    }

    /// Sends one heartbeat. Returns the response status, or 0 if there was
    /// none.
    async fn send_heartbeat(&self) -> u16 {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let report = Report {
            lifetime: self.lifetime(),
            slots: self.slots,
            sequence,
            ready: !self.draining.load(Ordering::Relaxed),
        };
        self.send_report(&report).await
    }

    /// Sends an arbitrary report, for example one of a previous lifetime.
    /// Returns the response status, or 0 if there was none.
    pub async fn send_report(&self, report: &Report) -> u16 {
        let address = self.address.to_string();
        let (method, path, body) =
            standin::report(report, &self.service, &address);
        let sent = caller::send(self.control, method, &path, &[], body);
        sent.await.map_or(0, |response| response.status)
    }

    /// Records a request that runs.
    fn record_run(&self, request: &caller::Request) {
        self.record_arrival(request, true);
        let id = header::attempt(&request.headers).unwrap_or_default();
        let mut runs = self.runs.lock().expect("no holder panics");
        *runs.entry(id.to_string()).or_default() += 1;
        let from = request.headers.get(header::CALLER);
        let from = from.and_then(|v| v.to_str().ok()).unwrap_or_default();
        let mut callers = self.callers.lock().expect("no holder panics");
        callers.push(from.to_string());
        drop(callers);
        self.record_account(&request.headers);
    }

    /// True if the request is for a certain other instance.
    fn is_misdirected(&self, headers: &HeaderMap) -> bool {
        let only = headers.get(header::ONLY_INSTANCE);
        only.is_some_and(|only| only.as_bytes() != self.id().as_bytes())
    }
}

impl Startup {
    /// The lifetime of an instance that starts now.
    fn lifetime(self, id: &str) -> Lifetime {
        let started_at = StartTime(unix_millis());
        Lifetime::new(id, (!self.omits_start_time).then_some(started_at))
    }
}

fn unix_millis() -> u64 {
    let elapsed = std::time::UNIX_EPOCH.elapsed();
    elapsed.expect("a time after 1970").as_millis() as u64
}

/// Listens on an address, and retries while it is in use.
///
/// A stopped instance keeps its listener until its tasks have been aborted. A
/// process that is being started may also hold its parent's sockets for a
/// moment.
async fn listen(address: SocketAddr) -> TcpListener {
    let mut retries = 0;
    loop {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("a socket option");
        match socket.bind(address) {
            Ok(()) => return socket.listen(1_024).expect("a listener"),
            Err(e) if retries == MAX_BIND_RETRIES => panic!("{address}: {e}"),
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
        retries += 1;
    }
}

async fn send_heartbeats(instance: Arc<Instance>) {
    tokio::time::sleep(instance.startup.silence).await;
    while !instance.heartbeats_stopped.load(Ordering::Relaxed) {
        instance.send_heartbeat().await;
        let interval_ms = instance.heartbeat_ms.load(Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(interval_ms)).await;
    }
}

async fn accept(instance: Arc<Instance>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        instance.connections.fetch_add(1, Ordering::Relaxed);
        let task = tokio::spawn(serve(instance.clone(), stream));
        instance.track_tasks([task.abort_handle()]);
    }
}

async fn serve(instance: Arc<Instance>, mut stream: TcpStream) {
    let mut bytes = Vec::new();
    let mut idle_since = tokio::time::Instant::now();
    while let Some(request) =
        caller::read_request(&mut stream, &mut bytes).await
    {
        let behavior = *instance.behavior.lock().expect("no holder panics");
        if behavior == Behavior::ResetsIdle
            && idle_since.elapsed() > IDLE_TIMEOUT
        {
            return;
        }
        let Some(kept) = respond_once(&instance, stream, &request).await
        else {
            return;
        };
        stream = kept;
        idle_since = tokio::time::Instant::now();
    }
}

/// Responds to a request, with the quirks of the instance. Returns the
/// connection unless it must be closed.
async fn respond_once(
    instance: &Arc<Instance>,
    mut stream: TcpStream,
    request: &caller::Request,
) -> Option<TcpStream> {
    let quirks = instance.quirks();
    let is_probe = request.path == "/health";
    let quirk = quirks.as_ref().filter(|_| !is_probe).and_then(|q| q.draw());
    let kept = match quirk {
        Some(quirk) => {
            quirk::respond(instance, &mut stream, request, quirk).await
        }
        None => respond(instance, &mut stream, request).await,
    };
    let repeat = quirks.and_then(|quirks| quirks.draw_repeat());
    match (kept, repeat) {
        (false, _) => None,
        (true, None) => Some(stream),
        (true, Some(delay)) => {
            let copy = quirk::copy(instance, request, quirk);
            quirk::repeat(instance, stream, copy, delay)
        }
    }
}

/// Responds to a request. False if the connection must be closed.
async fn respond(
    instance: &Arc<Instance>,
    stream: &mut TcpStream,
    request: &caller::Request,
) -> bool {
    if request.path == "/health" {
        return respond_health(instance, stream).await;
    }
    if instance.is_misdirected(&request.headers) {
        tokio::time::sleep(instance.startup.rejection_delay).await;
        return write_response(stream, "421 Misdirected Request", "", "")
            .await;
    }
    let behavior = *instance.behavior.lock().expect("no holder panics");
    if behavior == Behavior::Sheds {
        instance.record_arrival(request, false);
        let notices = instance.notices();
        let headers = format!("{notices}{}: 1\r\n", header::NOT_RUN);
        return write_response(
            stream,
            "503 Service Unavailable",
            &headers,
            "",
        )
        .await;
    }
    if !run(instance, stream, request).await {
        return false;
    }
    let id = header::attempt(&request.headers).unwrap_or_default();
    let called = instance.make_call(id, &request.headers).await;
    let echoed = match instance.omits_request.load(Ordering::Relaxed) {
        true => "",
        false => &request.body,
    };
    let mut body = format!("{} {id} {echoed}", instance.id());
    let length = instance.response_bytes.load(Ordering::Relaxed);
    let padding = length.saturating_sub(body.len());
    body.extend(std::iter::repeat_n('x', padding));
    let notices = instance.notices();
    let headers = format!("{notices}{}: {id}\r\n", header::ATTEMPT);
    let signed = format!("{headers}{}: s.{id}\r\n", header::SIGNATURE);
    match behavior {
        Behavior::DropsResponses => false,
        Behavior::NeverResponds => std::future::pending().await,
        _ if !called => {
            write_response(stream, "500 Internal Server Error", &signed, "no")
                .await
        }
        Behavior::Fails => {
            write_response(stream, "500 Internal Server Error", &signed, "no")
                .await
        }
        Behavior::FailsWith(status) => {
            let status = format!("{status:03} Status");
            write_response(stream, &status, &signed, "no").await
        }
        Behavior::SendsWithoutEnd(part) => {
            endless::send(stream, &signed, part).await;
            false
        }
        Behavior::SendsInterim(status) => {
            let interim = format!("HTTP/1.1 {status} Interim\r\n\r\n");
            stream.write_all(interim.as_bytes()).await.is_ok()
                && write_response(stream, "200 OK", &signed, &body).await
        }
        Behavior::OmitsSignature => {
            write_response(stream, "200 OK", &headers, &body).await
        }
        Behavior::TruncatesResponses => {
            let truncated = format!(
                "HTTP/1.1 200 OK\r\n{signed}content-length: {}\r\n\r\n{body}",
                body.len() * 2
            );
            // A failed write truncates the body too.
            let _ = stream.write_all(truncated.as_bytes()).await;
            false
        }
        Behavior::RespondsTwice => {
            let first_sent =
                write_response(stream, "200 OK", &signed, &body).await;
            tokio::time::sleep(Duration::from_millis(3)).await;
            first_sent
                && write_response(stream, "200 OK", &signed, "again").await
        }
        Behavior::Healthy | Behavior::Sheds | Behavior::ResetsIdle => {
            write_response(stream, "200 OK", &signed, &body).await
        }
    }
}

/// Runs a request. False if the connection was closed meanwhile or the
/// instance has crashed.
async fn run(
    instance: &Arc<Instance>,
    stream: &mut TcpStream,
    request: &caller::Request,
) -> bool {
    instance.record_run(request);
    let id = header::attempt(&request.headers).unwrap_or_default();
    let mut byte = [0];
    let has_run = tokio::select! {
        () = instance.simulate_work(id) => !instance.crash_if_fatal(request),
        read = stream.read(&mut byte) => {
            // The node sends nothing while a request runs, so a read can
            // only return end of stream or an error.
            debug_assert!(!matches!(read, Ok(n) if n > 0));
            instance.aborted_runs.fetch_add(1, Ordering::Relaxed);
            false
        }
    };
    instance.record_end(id);
    has_run
}

/// The percentage of long runs at an instance with a long tail.
const LONG_RUN_PERCENT: u64 = 5;

/// The run time of an attempt at an instance with a long tail, unless it is
/// cut short.
pub fn planned_run_time(attempt: &str) -> Duration {
    Duration::from_millis(long_tailed_run_ms(attempt))
}

fn long_tailed_run_ms(attempt: &str) -> u64 {
    let seed = attempt.bytes().fold(7, |sum: u64, byte| {
        sum.wrapping_mul(31).wrapping_add(u64::from(byte))
    });
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    match rng.next_u64() % 100 < LONG_RUN_PERCENT {
        true => 1_000 + rng.next_u64() % 8_000,
        false => 5 + rng.next_u64() % 200,
    }
}

async fn respond_health(instance: &Instance, stream: &mut TcpStream) -> bool {
    let status = match instance.is_healthy() {
        true => "200 OK",
        false => "503 Service Unavailable",
    };
    let load = instance.load_header();
    let headers = format!("{}: {}\r\n{load}", header::INSTANCE, instance.id());
    write_response(stream, status, &headers, "").await
}

async fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &str,
) -> bool {
    let text = format!(
        "HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).await.is_ok()
}
