/*!
An instance of a service: slots, heartbeats, and ways to fail. It speaks raw
HTTP over a socket, since most of its failures are none that a library would
write.
*/

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use http::HeaderMap;
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

use self::fault::Fault;
use super::caller;

mod fault;

/// How an instance treats the requests that it gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mood {
    /// It runs and answers them.
    Well,
    /// It runs them, and the connection breaks before the answer.
    LosesAnswers,
    /// It turns them away, not run.
    Sheds,
    /// It runs them and fails.
    Fails,
    /// It answers, and a moment later answers once more.
    AnswersTwice,
    /// It answers with half of the body that it has promised.
    CutsAnswers,
    /// It answers without a signature.
    Forges,
    /// It runs them and never answers.
    Silent,
    /// It has forgotten connections that were idle: what comes on them is
    /// reset, not run.
    Forgets,
}

/// An instance.
#[derive(Debug)]
pub struct Instance {
    life: Mutex<Lifetime>,
    service: Service,
    slots: u32,
    address: SocketAddr,
    control: SocketAddr,
    mood: Mutex<Mood>,
    time: AtomicU64,
    held: Mutex<BTreeSet<String>>,
    sequence: AtomicU64,
    draining: AtomicBool,
    silent: AtomicBool,
    runs: Mutex<BTreeMap<String, u32>>,
    arrivals: Mutex<Vec<Arrival>>,
    cut: AtomicU64,
    callers: Mutex<Vec<String>>,
    accounts: Mutex<Vec<Vec<String>>>,
    has_seen_key: AtomicBool,
    tasks: Mutex<Vec<AbortHandle>>,
    fault: Fault,
}

/// A request that reached an instance.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The id of the attempt.
    pub id: String,
    /// The body.
    pub body: String,
    /// The instance's service.
    pub service: Service,
    /// When it came.
    pub at: Instant,
    /// True if it ran.
    pub ran: bool,
}

/// The pause between heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(200);

/// The pause between looks at whether a held run was released.
const LOOK: Duration = Duration::from_millis(5);

/// How often an address is tried that is taken; with [`LOOK`] between, 10 s.
const BIND_TRIES: u32 = 2_000;

/// How soon an instance forgets an idle connection, if it does.
const FORGETS_AFTER: Duration = Duration::from_millis(600);

impl Instance {
    /// Starts one at an address, beside the node whose control is there.
    ///
    /// # Panics
    ///
    /// If the address is taken.
    pub async fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        control: SocketAddr,
    ) -> Arc<Instance> {
        let listener = listen(address).await;
        let instance = Arc::new(Instance {
            life: Mutex::new(Lifetime::new(
                id,
                Some(StartTime(unix_millis())),
            )),
            service: service.parse().expect("a service name"),
            slots: 8,
            address,
            control,
            mood: Mutex::new(Mood::Well),
            time: AtomicU64::new(5),
            held: Mutex::default(),
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            runs: Mutex::default(),
            arrivals: Mutex::default(),
            cut: AtomicU64::new(0),
            callers: Mutex::default(),
            accounts: Mutex::default(),
            has_seen_key: AtomicBool::new(false),
            tasks: Mutex::default(),
            fault: Fault::default(),
        });
        instance.clone().open(listener);
        instance
    }

    /// Takes requests and sends heartbeats from now on.
    fn open(self: Arc<Instance>, listener: TcpListener) {
        let accept = tokio::spawn(accept(self.clone(), listener));
        let beat = tokio::spawn(beat(self.clone()));
        self.keep([accept.abort_handle(), beat.abort_handle()]);
    }

    fn keep(&self, tasks: impl IntoIterator<Item = AbortHandle>) {
        let mut kept = self.tasks.lock().expect("no holder panics");
        kept.retain(|task| !task.is_finished());
        kept.extend(tasks);
    }

    /// Ends it at once: what it runs is lost, and its address is free.
    pub fn stop(&self) {
        self.fault.end();
        self.halt();
    }

    fn halt(&self) {
        for task in self.tasks.lock().expect("no holder panics").drain(..) {
            task.abort();
        }
    }

    /// Every request that reached it, in order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("no holder panics").clone()
    }

    fn arrive(&self, request: &caller::Request, ran: bool) {
        let id = header::attempt(&request.headers).unwrap_or_default();
        let arrival = Arrival {
            id: id.to_string(),
            body: request.body.clone(),
            service: self.service.clone(),
            at: Instant::now(),
            ran,
        };
        let mut arrivals = self.arrivals.lock().expect("no holder panics");
        arrivals.push(arrival);
    }

    /// This start of it.
    pub fn lifetime(&self) -> Lifetime {
        self.life.lock().expect("no holder panics").clone()
    }

    fn id(&self) -> String {
        self.lifetime().id
    }

    /// What it offers.
    pub fn service(&self) -> String {
        self.service.to_string()
    }

    /// Changes how it treats requests.
    pub fn set_mood(&self, mood: Mood) {
        *self.mood.lock().expect("no holder panics") = mood;
    }

    /// Changes how long it takes for a request.
    pub fn set_time(&self, time: Duration) {
        self.time.store(time.as_millis() as u64, Ordering::Relaxed);
    }

    /// Lets the run of a request last until it is released.
    pub fn hold(&self, attempt: &str) {
        let mut held = self.held.lock().expect("no holder panics");
        held.insert(attempt.to_string());
    }

    /// Ends a run that was held.
    pub fn release(&self, attempt: &str) {
        let mut held = self.held.lock().expect("no holder panics");
        held.remove(attempt);
    }

    fn is_held(&self, attempt: &str) -> bool {
        let held = self.held.lock().expect("no holder panics");
        held.contains(attempt)
    }

    /// Takes the time that a run takes.
    async fn work(&self, attempt: &str) {
        let time = self.time.load(Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(time)).await;
        while self.is_held(attempt) {
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Says from now on that it is leaving, and finishes what it has.
    pub async fn drain(&self) -> u16 {
        self.draining.store(true, Ordering::Relaxed);
        self.report().await
    }

    /// Sends no heartbeats any more.
    pub fn hush(&self) {
        self.silent.store(true, Ordering::Relaxed);
    }

    /// Says goodbye without having said that it leaves.
    pub async fn leave(&self) -> u16 {
        self.silent.store(true, Ordering::Relaxed);
        let (method, path, body) = standin::leave(&self.lifetime());
        let sent = caller::send(self.control, method, &path, &[], body);
        sent.await.map_or(0, |answer| answer.status)
    }

    /// How often a request ran.
    pub fn runs(&self, attempt: &str) -> u32 {
        let runs = self.runs.lock().expect("no holder panics");
        runs.get(attempt).copied().unwrap_or(0)
    }

    /// Requests that ran.
    pub fn total(&self) -> u32 {
        self.runs.lock().expect("no holder panics").values().sum()
    }

    /// Runs whose connection was closed before they ended.
    pub fn cut(&self) -> u64 {
        self.cut.load(Ordering::Relaxed)
    }

    /// The accounts that each request which it ran was said to be from.
    pub fn accounts(&self) -> Vec<Vec<String>> {
        self.accounts.lock().expect("no holder panics").clone()
    }

    /// True if a caller's key ever came to it.
    pub fn has_seen_key(&self) -> bool {
        self.has_seen_key.load(Ordering::Relaxed)
    }

    fn note_account(&self, headers: &HeaderMap) {
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

    /// The services beside which its requests began.
    pub fn callers(&self) -> Vec<String> {
        self.callers.lock().expect("no holder panics").clone()
    }

    async fn report(&self) -> u16 {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let report = Report {
            lifetime: self.lifetime(),
            slots: self.slots,
            sequence,
            ready: !self.draining.load(Ordering::Relaxed),
        };
        self.say(&report).await
    }

    /// Sends a report of any lifetime, as if it had been held up on the way.
    pub async fn say(&self, report: &Report) -> u16 {
        let address = self.address.to_string();
        let (method, path, body) =
            standin::report(report, &self.service, &address);
        let sent = caller::send(self.control, method, &path, &[], body);
        sent.await.map_or(0, |answer| answer.status)
    }

    fn note(&self, request: &caller::Request) {
        self.arrive(request, true);
        let id = header::attempt(&request.headers).unwrap_or_default();
        let mut runs = self.runs.lock().expect("no holder panics");
        *runs.entry(id.to_string()).or_default() += 1;
        let from = request.headers.get(header::CALLER);
        let from = from.and_then(|v| v.to_str().ok()).unwrap_or_default();
        let mut callers = self.callers.lock().expect("no holder panics");
        callers.push(from.to_string());
        drop(callers);
        self.note_account(&request.headers);
    }

    fn is_misdirected(&self, headers: &HeaderMap) -> bool {
        let only = headers.get(header::ONLY_INSTANCE);
        only.is_some_and(|only| only.as_bytes() != self.id().as_bytes())
    }
}

fn unix_millis() -> u64 {
    let since = std::time::UNIX_EPOCH.elapsed();
    since.expect("a time after 1970").as_millis() as u64
}

/// Listens at an address at which another instance may just have ended.
///
/// The address may be taken for a moment: by the instance before, whose tasks
/// end a little after they were told to. Fresh addresses were seen taken as
/// well; a process that is being started may hold its parent's sockets until
/// it runs its program, but no probe has shown that this was the cause.
async fn listen(address: SocketAddr) -> TcpListener {
    let mut tries = 0;
    loop {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("a socket option");
        match socket.bind(address) {
            Ok(()) => return socket.listen(1_024).expect("a listener"),
            Err(e) if tries == BIND_TRIES => panic!("{address}: {e}"),
            Err(_) => tokio::time::sleep(LOOK).await,
        }
        tries += 1;
    }
}

async fn beat(instance: Arc<Instance>) {
    while !instance.silent.load(Ordering::Relaxed) {
        instance.report().await;
        tokio::time::sleep(HEARTBEAT).await;
    }
}

async fn accept(instance: Arc<Instance>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let task = tokio::spawn(serve(instance.clone(), stream));
        instance.keep([task.abort_handle()]);
    }
}

async fn serve(instance: Arc<Instance>, mut stream: TcpStream) {
    let mut bytes = Vec::new();
    let mut since = tokio::time::Instant::now();
    while let Some(request) =
        caller::read_request(&mut stream, &mut bytes).await
    {
        let mood = *instance.mood.lock().expect("no holder panics");
        if mood == Mood::Forgets && since.elapsed() > FORGETS_AFTER {
            return;
        }
        if !answer(&instance, &mut stream, &request).await {
            return;
        }
        since = tokio::time::Instant::now();
    }
}

/// Answers a request; false if the connection ends with it.
async fn answer(
    instance: &Arc<Instance>,
    stream: &mut TcpStream,
    request: &caller::Request,
) -> bool {
    if request.path == "/health" {
        return health(instance, stream).await;
    }
    if instance.is_misdirected(&request.headers) {
        return write(stream, "421 Misdirected Request", "", "").await;
    }
    let mood = *instance.mood.lock().expect("no holder panics");
    if mood == Mood::Sheds {
        instance.arrive(request, false);
        let said = format!("{}: 1\r\n", header::NOT_RUN);
        return write(stream, "503 Service Unavailable", &said, "").await;
    }
    if !run(instance, stream, request).await {
        return false;
    }
    let id = header::attempt(&request.headers).unwrap_or_default();
    let body = format!("{} {id} {}", instance.id(), request.body);
    let own = format!("{}: {id}\r\n", header::ATTEMPT);
    let signed = format!("{own}{}: s.{id}\r\n", header::SIGNATURE);
    match mood {
        Mood::LosesAnswers => false,
        Mood::Silent => std::future::pending().await,
        Mood::Fails => {
            write(stream, "500 Internal Server Error", &signed, "no").await
        }
        Mood::Forges => write(stream, "200 OK", &own, &body).await,
        Mood::CutsAnswers => {
            let half = format!(
                "HTTP/1.1 200 OK\r\n{signed}content-length: {}\r\n\r\n{body}",
                body.len() * 2
            );
            // The caller sees a short body, which is what is meant.
            let _ = stream.write_all(half.as_bytes()).await;
            false
        }
        Mood::AnswersTwice => {
            let first = write(stream, "200 OK", &signed, &body).await;
            tokio::time::sleep(Duration::from_millis(3)).await;
            first && write(stream, "200 OK", &signed, "again").await
        }
        Mood::Well | Mood::Sheds | Mood::Forgets => {
            write(stream, "200 OK", &signed, &body).await
        }
    }
}

/// Runs a request; false if its connection was closed meanwhile.
async fn run(
    instance: &Arc<Instance>,
    stream: &mut TcpStream,
    request: &caller::Request,
) -> bool {
    instance.note(request);
    let id = header::attempt(&request.headers).unwrap_or_default();
    let mut byte = [0];
    tokio::select! {
        () = instance.work(id) => !instance.is_ended_by(request),
        read = stream.read(&mut byte) => {
            // A caller sends nothing while its request runs, so this is the
            // end of the connection.
            debug_assert!(!matches!(read, Ok(n) if n > 0));
            instance.cut.fetch_add(1, Ordering::Relaxed);
            false
        }
    }
}

async fn health(instance: &Instance, stream: &mut TcpStream) -> bool {
    let status = match instance.draining.load(Ordering::Relaxed) {
        true => "503 Service Unavailable",
        false => "200 OK",
    };
    let said = format!(
        "{}: {}\r\n{}: 0,0,{}\r\n",
        header::INSTANCE,
        instance.id(),
        header::LOAD,
        instance.slots
    );
    write(stream, status, &said, "").await
}

async fn write(
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
