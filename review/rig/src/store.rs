//! A stand-in for the platform's metadata store: objects by kind and name, one
//! revision counter, lists, conditional writes and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
}

struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct Data {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Event>,
}

pub struct Store {
    pub address: SocketAddr,
    data: Mutex<Data>,
    changed: Condvar,
}

fn render(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"createdAt\":1,\"finalizers\":[],\"deleteRequested\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.spec
    )
}

/// The text of the JSON value that begins the text.
fn value(text: &str) -> &str {
    let (mut depth, mut in_string, mut escaped) = (0, false, false);
    for (at, c) in text.char_indices() {
        if in_string {
            match c {
                _ if escaped => escaped = false,
                '\\' => escaped = true,
                '"' => in_string = false,
                _ => {}
            }
            if !in_string && depth == 0 {
                return &text[..=at];
            }
            continue;
        }
        match c {
            '"' => in_string = true,
            '{' | '[' => depth += 1,
            '}' | ']' if depth > 0 => {
                depth -= 1;
                if depth == 0 {
                    return &text[..=at];
                }
            }
            '}' | ']' | ',' if depth == 0 => return &text[..at],
            _ => {}
        }
    }
    text
}

/// The value of a field that occurs first under this name.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":");
    let at = text.find(&key)? + key.len();
    Some(value(text[at..].trim_start()))
}

fn query(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let pair = query
        .split('&')
        .find_map(|part| part.split_once('=').filter(|(n, _)| *n == name));
    pair.map(|(_, value)| value.to_string())
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener =
            TcpListener::bind(crate::node::free()).expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let data = Data { revision: 100, ..Data::default() };
        let store = Arc::new(Store {
            address,
            data: Mutex::new(data),
            changed: Condvar::new(),
        });
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        let mut stream = stream;
        while let Ok(request) = http::read(&mut reader) {
            // The store takes some milliseconds for an answer.
            thread::sleep(Duration::from_millis(3));
            let (status, body) = self.handle(&request);
            let line = format!("HTTP/1.1 {status} X");
            let headers = [("Content-Type", "application/json")];
            if http::write(&mut stream, &line, &headers, body.as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        let target = request.word(1).to_string();
        let path = target.split('?').next().unwrap_or("").to_string();
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or("").to_string();
        let name = parts.next().map(str::to_string);
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (request.word(0), name) {
            ("GET", None) => match query(&target, "watch") {
                Some(since) => self.watch(&kind, &since, &target),
                None => self.list(&kind),
            },
            ("GET", Some(name)) => {
                let data = self.data.lock().unwrap();
                match data.objects.get(&(kind, name.clone())) {
                    Some(object) => (200, render(&name, object)),
                    None => (404, "{}".into()),
                }
            }
            ("POST", None) => {
                let name = field(&body, "name")
                    .unwrap_or("\"\"")
                    .trim_matches('"')
                    .to_string();
                let spec = field(&body, "spec").unwrap_or("null").to_string();
                let found = {
                    let data = self.data.lock().unwrap();
                    data.objects.get(&(kind.clone(), name.clone())).cloned()
                };
                match found {
                    Some(object) => (409, render(&name, &object)),
                    None => (200, self.write(&kind, &name, &spec)),
                }
            }
            ("PUT", Some(name)) => {
                let spec = field(&body, "spec").unwrap_or("null").to_string();
                let expected = query(&target, "revision")
                    .and_then(|text| text.parse::<u64>().ok());
                let found = {
                    let data = self.data.lock().unwrap();
                    data.objects.get(&(kind.clone(), name.clone())).cloned()
                };
                match found {
                    None => (404, "{}".into()),
                    Some(object)
                        if expected.is_some_and(|e| e != object.revision) =>
                    {
                        (409, render(&name, &object))
                    }
                    Some(object) if object.spec == spec => {
                        (200, render(&name, &object))
                    }
                    Some(_) => (200, self.write(&kind, &name, &spec)),
                }
            }
            ("DELETE", Some(name)) => {
                let mut data = self.data.lock().unwrap();
                match data.objects.remove(&(kind.clone(), name.clone())) {
                    None => (404, "{}".into()),
                    Some(object) => {
                        data.revision += 1;
                        let revision = data.revision;
                        let text =
                            render(&name, &Object { revision, ..object });
                        let event =
                            format!("{{\"removed\":true,\"object\":{text}}}");
                        data.history.push(Event {
                            revision,
                            kind,
                            text: event,
                        });
                        self.changed.notify_all();
                        (200, text)
                    }
                }
            }
            _ => (404, "{}".into()),
        }
    }

    /// Writes an object, as a node or the operator does; returns its text.
    pub fn write(&self, kind: &str, name: &str, spec: &str) -> String {
        let mut data = self.data.lock().unwrap();
        data.revision += 1;
        let revision = data.revision;
        let object = Object { revision, spec: spec.into() };
        let text = render(name, &object);
        data.objects.insert((kind.into(), name.into()), object);
        let event = format!("{{\"removed\":false,\"object\":{text}}}");
        data.history.push(Event { revision, kind: kind.into(), text: event });
        self.changed.notify_all();
        text
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let data = self.data.lock().unwrap();
        let items: Vec<String> = data
            .objects
            .iter()
            .filter(|((k, _), _)| k == kind)
            .map(|((_, name), object)| render(name, object))
            .collect();
        let text = format!(
            "{{\"items\":[{}],\"hasMore\":false,\"asOf\":{}}}",
            items.join(","),
            data.revision
        );
        (200, text)
    }

    fn watch(&self, kind: &str, since: &str, target: &str) -> (u16, String) {
        let since: u64 = since.parse().unwrap_or(0);
        let wait = query(target, "waitMs")
            .and_then(|t| t.parse().ok())
            .unwrap_or(1_000u64);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut data = self.data.lock().unwrap();
        loop {
            let events: Vec<String> = data
                .history
                .iter()
                .filter(|event| event.kind == kind && event.revision > since)
                .map(|event| event.text.clone())
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!(
                    "{{\"events\":[{}],\"asOf\":{}}}",
                    events.join(","),
                    data.revision
                );
                return (200, text);
            }
            data = self.changed.wait_timeout(data, left).unwrap().0;
        }
    }
}
