//! A stand-in for an application instance and for its liveness reports.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;

pub struct Instance {
    pub id: String,
    pub service: String,
    pub slots: usize,
    pub work: Duration,
    pub control: SocketAddr,
    pub address: SocketAddr,
    pub zone: String,
    pub running: AtomicU64,
    pub sequence: AtomicU64,
    pub reports: AtomicBool,
    pub record: Arc<Record>,
    /// The length of its answers.
    answer_bytes: usize,
    connections: Mutex<Vec<TcpStream>>,
    has_exited: AtomicBool,
}

impl Instance {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        slots: usize,
        work: Duration,
        address: SocketAddr,
        control: SocketAddr,
        record: &Arc<Record>,
    ) -> Arc<Instance> {
        let listener =
            TcpListener::bind(address).expect("the instance's port is free");
        let instance = Arc::new(Instance {
            id: id.into(),
            service: service.into(),
            slots,
            work,
            control,
            address,
            zone: zone.into(),
            running: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            reports: AtomicBool::new(true),
            record: record.clone(),
            answer_bytes: 6_000,
            connections: Mutex::default(),
            has_exited: AtomicBool::new(false),
        });
        let accepting = instance.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.has_exited.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(kept) = stream.try_clone() {
                    accepting.connections.lock().unwrap().push(kept);
                }
                let instance = accepting.clone();
                thread::spawn(move || instance.serve(stream));
            }
        });
        let reporting = instance.clone();
        thread::spawn(move || loop {
            if reporting.reports.load(Ordering::SeqCst) {
                let (sequence, body) = reporting.next_report("ready");
                reporting.put(sequence, &body);
            }
            thread::sleep(Duration::from_millis(1_500));
        });
        instance
    }

    /// The next liveness report, which need not be sent at once.
    pub fn next_report(&self, state: &str) -> (u64, String) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"address\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\"coldLeft\":\"0ms\"}}}}",
            self.address, self.service, self.zone, self.slots
        );
        (sequence, body)
    }

    /// Sends a liveness report; returns the status, 0 without an answer.
    pub fn put(&self, sequence: u64, body: &str) -> u16 {
        let line = format!("PUT /instances/{} HTTP/1.1", self.id);
        let status = call(self.control, &line, body);
        self.record
            .line(&format!("report {} {sequence} answered {status}", self.id));
        status
    }

    /// Exits: closes the port and all connections.
    pub fn exit(&self) {
        self.has_exited.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        let mut stream = stream;
        while let Ok(request) = http::read(&mut reader) {
            if self.answer(&mut stream, &request).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        stream: &mut TcpStream,
        request: &http::Message,
    ) -> std::io::Result<()> {
        let running = self.running.load(Ordering::SeqCst);
        let load = format!("{running},0,{}", self.slots);
        let load = ("Walnutmoor-Server-Load", load.as_str());
        let id = ("Walnutmoor-Instance-Id", self.id.as_str());
        let keep = ("Keep-Alive", "timeout=10");
        if request.word(1) == "/health" {
            return http::write(
                stream,
                "HTTP/1.1 200 OK",
                &[load, id, keep],
                b"",
            );
        }
        let attempt =
            request.header("Walnutmoor-Attempt-Id").unwrap_or("").to_string();
        let echo = ("Walnutmoor-Attempt-Id", attempt.as_str());
        if request
            .header("Walnutmoor-Expect-Instance")
            .is_some_and(|e| e != self.id)
        {
            return http::write(
                stream,
                "HTTP/1.1 421 Misdirected Request",
                &[id, echo],
                b"",
            );
        }
        if running >= self.slots as u64 {
            let not = ("Walnutmoor-Not-Executed", "1");
            return http::write(
                stream,
                "HTTP/1.1 503 Service Unavailable",
                &[not, load, echo],
                b"",
            );
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let tenant = request.header("Walnutmoor-Tenant").unwrap_or("-");
        self.record.ran(&attempt, &self.id, tenant);
        thread::sleep(self.work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        let stamp = format!("{}.{attempt}", self.id);
        let stamp = ("Walnutmoor-Server-Stamp", stamp.as_str());
        let mut body =
            format!("{} ran {attempt} {} ", self.id, request.word(1));
        body.push_str(
            &"x".repeat(self.answer_bytes.saturating_sub(body.len())),
        );
        http::write(
            stream,
            "HTTP/1.1 200 OK",
            &[echo, stamp, load, keep],
            body.as_bytes(),
        )
    }
}

/// Sends one call on a connection of its own; returns the status, or 0.
pub fn call(address: SocketAddr, line: &str, body: &str) -> u16 {
    let Ok(stream) =
        TcpStream::connect_timeout(&address, Duration::from_secs(1))
    else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let Ok(reading) = stream.try_clone() else { return 0 };
    let mut stream = stream;
    let headers = [
        ("Host", "node"),
        ("Content-Type", "application/json"),
        ("Connection", "close"),
    ];
    if http::write(&mut stream, line, &headers, body.as_bytes()).is_err() {
        return 0;
    }
    http::read(&mut BufReader::new(reading))
        .map_or(0, |answer| answer.status())
}
