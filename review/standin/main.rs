//! Stand-ins and drivers of the review cases: a metadata store, instances,
//! clients and a proxy between nodes. Uses the standard library only.
//!
//! `standin CASE RECORD` runs a case and exits with 1 if the rule was broken,
//! 0 if it held and 2 if the case could not run. With `TROUBLE=0` it does the
//! same without the disruption.

mod cases;
mod http;
mod instance;
mod json;
mod proxy;
mod store;
mod world;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().map(String::as_str) == Some("instance") {
        instance::main(&args[1..]);
        return;
    }
    let [case, record] = args.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    std::process::exit(cases::run(case, record, trouble));
}
