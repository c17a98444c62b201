/*!
Drives the core with a recorded session: events as JSON lines in, actions as
JSON lines out. `at` is the time in milliseconds.

The first line sets the node up:

```json
{"node":"10.0.0.1:7402","zone":"portland","seed":7,"observe":false}
```

and each further one is an event, as in `{"at":5,"event":"tick"}`. Empty
lines and lines that begin with `#` are kept as they are, so that a session
reads as a story.
*/

use std::io::{BufRead, Write};

use serde::{Deserialize, Serialize};
use walnutmoor::prelude::*;
use walnutmoor_core::node::{Action, Config, Event, Mode, Node, Starting};

/// The first line of a session.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Opening {
    node: NodeId,
    zone: Zone,
    seed: u64,
    #[serde(default)]
    observe: bool,
}

/// One further line.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    at: Millis,
    event: Event,
}

/// One line of output.
#[derive(Debug, Serialize)]
struct Out<'a> {
    at: Millis,
    action: &'a Action,
}

/// Reads a session and writes what the core wants done.
///
/// # Errors
///
/// If a line cannot be read, with its number.
pub fn drive(
    input: impl BufRead,
    output: &mut impl Write,
) -> Result<(), Failure> {
    let mut node: Option<Node<Starting>> = None;
    for (index, line) in input.lines().enumerate() {
        let number = index + 1;
        let line = line.map_err(|e| wrong(number, &e.to_string()))?;
        if line.is_empty() || line.starts_with('#') {
            write(output, &line)?;
            continue;
        }
        match &mut node {
            None => node = Some(open(number, &line)?),
            Some(node) => step(number, &line, node, output)?,
        }
    }
    Ok(())
}

fn open(number: usize, line: &str) -> Result<Node<Starting>, Failure> {
    let opening: Opening = serde_json::from_str(line)
        .map_err(|e| wrong(number, &e.to_string()))?;
    let mode = if opening.observe { Mode::Observe } else { Mode::Enforce };
    let config = Config::new(opening.node)
        .zone(opening.zone)
        .seed(opening.seed)
        .mode(mode);
    Ok(Node::new(config, Millis(0)))
}

fn step(
    number: usize,
    line: &str,
    node: &mut Node<Starting>,
    output: &mut impl Write,
) -> Result<(), Failure> {
    let line: Line = serde_json::from_str(line)
        .map_err(|e| wrong(number, &e.to_string()))?;
    let mut actions = Vec::new();
    node.handle(line.at, line.event, &mut actions);
    for action in &actions {
        let out = Out { at: line.at, action };
        let text = serde_json::to_string(&out);
        write(output, &text.expect("plain data serializes"))?;
    }
    Ok(())
}

fn write(output: &mut impl Write, line: &str) -> Result<(), Failure> {
    let failed = |e: std::io::Error| Failure::Internal(e.to_string());
    writeln!(output, "{line}").map_err(failed)
}

fn wrong(number: usize, message: &str) -> Failure {
    Failure::usage(format!("line {number}: {message}"))
}
