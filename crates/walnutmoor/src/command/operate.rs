//! Commands that query or change a running node: `class`, `audit`, `status`.

use getopts::{Matches, Options};
use http::Method;
use serde::{Deserialize, de::DeserializeOwned};
use walnutmoor_core::config::{Entry, Op};

use super::{
    client::{self, Call, Response},
    parse, reject_extra_args,
};
use crate::{
    prelude::*,
    worker::operator::{
        Accepted, ClassSpec, ClassView, ConfigView, OPERATOR, TargetSpec,
    },
};

/// The default operator address of a node.
const DEFAULT_ADDRESS: &str = "127.0.0.1:7401";

fn options() -> Options {
    let mut options = Options::new();
    let brief = "a node's operator address [127.0.0.1:7401]";
    options.optopt("", "node", brief, "ADDRESS:PORT");
    options
}

fn node_address(matches: &Matches) -> String {
    matches.opt_str("node").unwrap_or_else(|| DEFAULT_ADDRESS.to_string())
}

/// The body of a refusal.
#[derive(Deserialize)]
struct Refusal {
    kind: String,
    ran: String,
    detail: Option<String>,
    retry_after_ms: Option<u64>,
}

/// Decodes the body of a response with status 200.
fn read<T: DeserializeOwned>(response: &Response) -> Result<T, Failure> {
    if response.status != 200 {
        return Err(refused(response));
    }
    serde_json::from_slice(&response.body).map_err(|error| {
        Failure::Internal(format!(
            "cannot decode the node's response: {error}"
        ))
    })
}

/// The failure that a response with another status stands for.
fn refused(response: &Response) -> Failure {
    let conflict = response.status == 412;
    let message = match serde_json::from_slice::<Refusal>(&response.body) {
        Ok(refusal) => {
            let mut message = match refusal.kind.as_str() {
                "conflict" => "conflict: another change came first; read \
                     the class again before you retry"
                    .to_string(),
                kind => kind.to_string(),
            };
            if let Some(detail) = refusal.detail {
                message += &format!(": {detail}");
            }
            if refusal.ran == "unknown" {
                message += " (the change may have taken effect; see \
                     `walnutmoor audit`)";
            }
            if let Some(ms) = refusal.retry_after_ms {
                message += &format!(" (try again in {ms}ms)");
            }
            message
        }
        Err(_) => format!("HTTP status {}", response.status),
    };
    Failure::Refused { message, conflict }
}

/// `walnutmoor class ...`
pub(super) fn class(args: &[String]) -> Result<(), Failure> {
    let missing = Failure::usage("class: expected list, get, set or remove");
    let (command, rest) = args.split_first().ok_or(missing)?;
    match command.as_str() {
        "list" => list(rest),
        "get" => get(rest),
        "set" => set(rest),
        "remove" => remove(rest),
        "-h" | "--help" => {
            println!("usage: walnutmoor class list|get|set|remove ...");
            Ok(())
        }
        other => {
            Err(Failure::usage(format!("class: unknown command `{other}`")))
        }
    }
}

fn print_class(class: &ClassView) {
    let (name, spec) = (&class.name, &class.spec);
    let (kind, target) = (spec.kind, &spec.target);
    let within = target.within.0;
    println!("{name:<24} {kind:<9} {} within {within}", target.share);
}

fn list(args: &[String]) -> Result<(), Failure> {
    let mut options = options();
    let brief = "class list [--node ADDRESS:PORT]";
    let Some(matches) = parse(&mut options, brief, args)? else {
        return Ok(());
    };
    reject_extra_args(&matches)?;
    let response =
        client::call(&node_address(&matches), Call::get("/v1/config"))?;
    let config: ConfigView = read(&response)?;
    println!("revision {}", config.revision);
    config.classes.iter().for_each(print_class);
    Ok(())
}

fn class_name(
    matches: &Matches,
) -> Result<walnutmoor_core::id::Class, Failure> {
    match &matches.free[..] {
        [name] => Ok(name.parse()?),
        _ => Err(Failure::usage("class: expected exactly one class name")),
    }
}

fn get(args: &[String]) -> Result<(), Failure> {
    let mut options = options();
    let brief = "class get NAME [--node ADDRESS:PORT]";
    let Some(matches) = parse(&mut options, brief, args)? else {
        return Ok(());
    };
    let path = format!("/v1/classes/{}", class_name(&matches)?);
    let response = client::call(&node_address(&matches), Call::get(&path))?;
    print_class(&read(&response)?);
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

fn set(args: &[String]) -> Result<(), Failure> {
    let mut options = change_options();
    options.optopt("", "kind", "once, browse or internal", "KIND");
    options.optopt(
        "",
        "share",
        "the share of requests to complete in time",
        "PERCENT",
    );
    options.optopt("", "within", "the time to complete them in", "SPAN");
    let brief = "class set NAME --kind KIND --share PERCENT --within SPAN";
    let Some(matches) = parse(&mut options, brief, args)? else {
        return Ok(());
    };
    let within: Millis = required(&matches, "within")?.parse().map_err(
        |e: walnutmoor_core::time::ParseError| Failure::usage(e.to_string()),
    )?;
    let share = required(&matches, "share")?.parse()?;
    let kind = required(&matches, "kind")?.parse()?;
    let within = crate::settings::Span(within);
    let spec = ClassSpec { kind, target: TargetSpec { share, within } };
    let body = serde_json::to_string(&spec).expect("a class encodes");
    change(&matches, Method::PUT, body)
}

fn remove(args: &[String]) -> Result<(), Failure> {
    let mut options = change_options();
    let brief = "class remove NAME [--if-match REVISION]";
    let Some(matches) = parse(&mut options, brief, args)? else {
        return Ok(());
    };
    change(&matches, Method::DELETE, String::new())
}

/// Sends a change of a class and prints the accepted revision.
fn change(
    matches: &Matches,
    method: Method,
    body: String,
) -> Result<(), Failure> {
    let path = format!("/v1/classes/{}", class_name(matches)?);
    let headers = headers(matches)?;
    let call = Call { method, path: &path, headers, body };
    let response = client::call(&node_address(matches), call)?;
    let accepted: Accepted = read(&response)?;
    println!("accepted as revision {}", accepted.revision);
    Ok(())
}

/// `walnutmoor audit`
pub(super) fn audit(args: &[String]) -> Result<(), Failure> {
    let mut options = options();
    let brief = "audit [--node ADDRESS:PORT]";
    let Some(matches) = parse(&mut options, brief, args)? else {
        return Ok(());
    };
    reject_extra_args(&matches)?;
    let response =
        client::call(&node_address(&matches), Call::get("/v1/audit"))?;
    let entries: Vec<Entry> = read(&response)?;
    for entry in &entries {
        println!("{}", format_entry(entry));
    }
    Ok(())
}

/// One entry of the audit trail as a line of text.
fn format_entry(entry: &Entry) -> String {
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
pub(super) fn status(args: &[String]) -> Result<(), Failure> {
    let mut options = options();
    let brief = "status [--node ADDRESS:PORT]";
    let Some(matches) = parse(&mut options, brief, args)? else {
        return Ok(());
    };
    reject_extra_args(&matches)?;
    let response =
        client::call(&node_address(&matches), Call::get("/v1/status"))?;
    let value: serde_json::Value = read(&response)?;
    let text = serde_json::to_string_pretty(&value).expect("JSON encodes");
    println!("{text}");
    Ok(())
}
