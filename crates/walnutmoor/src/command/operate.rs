//! Commands that talk to a node: classes, audit trail, status.

use getopts::{Matches, Options};
use http::Method;
use serde::{Deserialize, de::DeserializeOwned};
use walnutmoor_core::config::{Entry, Op};

use super::{
    client::{self, Answer, Call},
    no_more, parse,
};
use crate::{
    prelude::*,
    worker::operator::{
        Accepted, ClassSpec, ClassView, ConfigView, OPERATOR, TargetSpec,
    },
};

/// Where the operator interface listens by default.
const NODE: &str = "127.0.0.1:7401";

fn options() -> Options {
    let mut options = Options::new();
    let brief = "a node's operator address [127.0.0.1:7401]";
    options.optopt("", "node", brief, "ADDRESS:PORT");
    options
}

fn node(matches: &Matches) -> String {
    matches.opt_str("node").unwrap_or_else(|| NODE.to_string())
}

/// A refusal as a node tells it.
#[derive(Deserialize)]
struct Told {
    kind: String,
    ran: String,
    detail: Option<String>,
    retry_after_ms: Option<u64>,
}

fn read<T: DeserializeOwned>(answer: &Answer) -> Result<T, Failure> {
    if answer.status != 200 {
        return Err(refused(answer));
    }
    serde_json::from_slice(&answer.body).map_err(|error| {
        Failure::Internal(format!("the node's answer is strange: {error}"))
    })
}

fn refused(answer: &Answer) -> Failure {
    let conflict = answer.status == 412;
    let message = match serde_json::from_slice::<Told>(&answer.body) {
        Ok(told) => {
            let mut message = match told.kind.as_str() {
                "conflict" => "conflict: another change came first; read \
                     the class again and decide anew"
                    .to_string(),
                kind => kind.to_string(),
            };
            if let Some(detail) = told.detail {
                message += &format!(": {detail}");
            }
            if told.ran == "unknown" {
                message += " (the change may have taken effect; see \
                     `walnutmoor audit`)";
            }
            if let Some(ms) = told.retry_after_ms {
                message += &format!(" (try again in {ms}ms)");
            }
            message
        }
        Err(_) => format!("status {}", answer.status),
    };
    Failure::Refused { message, conflict }
}

/// `walnutmoor class ...`
pub(super) fn class(words: &[String]) -> Result<(), Failure> {
    let none = Failure::usage("class: say list, get, set or remove");
    let (verb, rest) = words.split_first().ok_or(none)?;
    match verb.as_str() {
        "list" => list(rest),
        "get" => get(rest),
        "set" => set(rest),
        "remove" => remove(rest),
        "-h" | "--help" => {
            println!("usage: walnutmoor class list|get|set|remove ...");
            Ok(())
        }
        other => Err(Failure::usage(format!("class: no `{other}`"))),
    }
}

fn print_class(class: &ClassView) {
    let (name, wanted) = (&class.name, &class.spec);
    let (kind, target) = (wanted.kind, &wanted.target);
    let within = target.within.0;
    println!("{name:<24} {kind:<9} {} within {within}", target.share);
}

fn list(words: &[String]) -> Result<(), Failure> {
    let mut options = options();
    let brief = "class list [--node ADDRESS:PORT]";
    let Some(matches) = parse(&mut options, brief, words)? else {
        return Ok(());
    };
    no_more(&matches)?;
    let answer = client::call(&node(&matches), Call::get("/v1/config"))?;
    let config: ConfigView = read(&answer)?;
    println!("revision {}", config.revision);
    config.classes.iter().for_each(print_class);
    Ok(())
}

fn name(matches: &Matches) -> Result<walnutmoor_core::id::Class, Failure> {
    match &matches.free[..] {
        [name] => Ok(name.parse()?),
        _ => Err(Failure::usage("class: name one class")),
    }
}

fn get(words: &[String]) -> Result<(), Failure> {
    let mut options = options();
    let brief = "class get NAME [--node ADDRESS:PORT]";
    let Some(matches) = parse(&mut options, brief, words)? else {
        return Ok(());
    };
    let path = format!("/v1/classes/{}", name(&matches)?);
    let answer = client::call(&node(&matches), Call::get(&path))?;
    print_class(&read(&answer)?);
    Ok(())
}

fn required(matches: &Matches, option: &str) -> Result<String, Failure> {
    let missing = || Failure::usage(format!("--{option} is missing"));
    matches.opt_str(option).ok_or_else(missing)
}

fn change_options() -> Options {
    let mut options = options();
    let brief = "the revision that this change is based on";
    options.optopt("", "if-match", brief, "REVISION");
    let brief = "who makes the change [$USER]";
    options.optopt("", "by", brief, "NAME");
    options
}

fn headers(matches: &Matches) -> Result<Vec<(&'static str, String)>, Failure> {
    let user = || std::env::var("USER").unwrap_or_default();
    let by = matches.opt_str("by").unwrap_or_else(user);
    let mut headers = vec![(OPERATOR, by)];
    if let Some(text) = matches.opt_str("if-match") {
        let revision: Revision = text.parse()?;
        headers.push(("if-match", format!("\"{revision}\"")));
    }
    Ok(headers)
}

fn set(words: &[String]) -> Result<(), Failure> {
    let mut options = change_options();
    options.optopt("", "kind", "once, browse or internal", "KIND");
    options.optopt("", "share", "the share to complete", "PERCENT");
    options.optopt("", "within", "within how long", "SPAN");
    let brief = "class set NAME --kind KIND --share PERCENT --within SPAN";
    let Some(matches) = parse(&mut options, brief, words)? else {
        return Ok(());
    };
    let within: Millis = required(&matches, "within")?.parse().map_err(
        |e: walnutmoor_core::time::ParseError| Failure::usage(e.to_string()),
    )?;
    let share = required(&matches, "share")?.parse()?;
    let kind = required(&matches, "kind")?.parse()?;
    let within = crate::settings::Span(within);
    let wanted = ClassSpec { kind, target: TargetSpec { share, within } };
    let body = serde_json::to_string(&wanted).expect("plain data");
    change(&matches, Method::PUT, body)
}

fn remove(words: &[String]) -> Result<(), Failure> {
    let mut options = change_options();
    let brief = "class remove NAME [--if-match REVISION]";
    let Some(matches) = parse(&mut options, brief, words)? else {
        return Ok(());
    };
    change(&matches, Method::DELETE, String::new())
}

fn change(
    matches: &Matches,
    method: Method,
    body: String,
) -> Result<(), Failure> {
    let path = format!("/v1/classes/{}", name(matches)?);
    let headers = headers(matches)?;
    let call = Call { method, path: &path, headers, body };
    let answer = client::call(&node(matches), call)?;
    let accepted: Accepted = read(&answer)?;
    println!("accepted as revision {}", accepted.revision);
    Ok(())
}

/// `walnutmoor audit`
pub(super) fn audit(words: &[String]) -> Result<(), Failure> {
    let mut options = options();
    let brief = "audit [--node ADDRESS:PORT]";
    let Some(matches) = parse(&mut options, brief, words)? else {
        return Ok(());
    };
    no_more(&matches)?;
    let answer = client::call(&node(&matches), Call::get("/v1/audit"))?;
    let entries: Vec<Entry> = read(&answer)?;
    for entry in &entries {
        println!("{}", line(entry));
    }
    Ok(())
}

/// Who, when, what, from which revision to which.
fn line(entry: &Entry) -> String {
    let to = entry.revision.0;
    let (at, by) = (entry.author.at, &entry.author.by);
    let before = match &entry.before {
        Some(class) => {
            let target = &class.target;
            format!("{} {} {}", class.kind, target.share, target.within)
        }
        None => "nothing".to_string(),
    };
    let after = match &entry.op {
        Op::Set(class) => {
            let target = &class.target;
            format!("{} {} {}", class.kind, target.share, target.within)
        }
        Op::Remove(_) => "nothing".to_string(),
    };
    let (class, change) = (entry.op.class(), &entry.author.change);
    let from = to - 1;
    format!(
        "{from} -> {to} at {at} by {by}: {class}: {before} -> {after} \
         (change {change})"
    )
}

/// `walnutmoor status`
pub(super) fn status(words: &[String]) -> Result<(), Failure> {
    let mut options = options();
    let brief = "status [--node ADDRESS:PORT]";
    let Some(matches) = parse(&mut options, brief, words)? else {
        return Ok(());
    };
    no_more(&matches)?;
    let answer = client::call(&node(&matches), Call::get("/v1/status"))?;
    let value: serde_json::Value = read(&answer)?;
    let text = serde_json::to_string_pretty(&value).expect("plain data");
    println!("{text}");
    Ok(())
}
