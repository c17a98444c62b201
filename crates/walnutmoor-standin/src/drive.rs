/*!
Replays a recorded session on the core: reads events as JSON lines and writes
actions as JSON lines. `at` is the time in milliseconds.

The first line configures the node:

```json
{"node":"10.0.0.1:7402","zone":"portland","seed":7,"observe":false}
```

and each further line is an event, such as `{"at":5,"event":"tick"}`. Empty
lines and comment lines, which start with `#`, are copied to the output.
*/

use std::io::{BufRead, Write};

use serde::{Deserialize, Serialize};
use walnutmoor::prelude::*;
use walnutmoor_core::node::{Action, Config, Event, Mode, Node, Starting};

/// The first line of a session, which configures the node.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Header {
    node: NodeId,
    zone: Zone,
    seed: u64,
    #[serde(default)]
    observe: bool,
}

/// An event line of a session.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct InputLine {
    at: Millis,
    event: Event,
}

/// An output line.
#[derive(Debug, Serialize)]
struct OutputLine<'a> {
    at: Millis,
    action: &'a Action,
}

/// Replays a session and writes the actions of the core.
///
/// # Errors
///
/// If a line cannot be read or parsed, with its number, or if the output
/// cannot be written.
pub fn drive(
    input: impl BufRead,
    output: &mut impl Write,
) -> Result<(), Failure> {
    let mut node: Option<Node<Starting>> = None;
    for (index, line) in input.lines().enumerate() {
        let number = index + 1;
        let line = line.map_err(|e| line_error(number, &e.to_string()))?;
        if line.is_empty() || line.starts_with('#') {
            write_line(output, &line)?;
            continue;
        }
        match &mut node {
            None => node = Some(create_node(number, &line)?),
            Some(node) => handle_event(number, &line, node, output)?,
        }
    }
    Ok(())
}

fn create_node(number: usize, line: &str) -> Result<Node<Starting>, Failure> {
    let header: Header = serde_json::from_str(line)
        .map_err(|e| line_error(number, &e.to_string()))?;
    let mode = if header.observe { Mode::Observe } else { Mode::Enforce };
    let config = Config::new(header.node)
        .zone(header.zone)
        .seed(header.seed)
        .mode(mode);
    Ok(Node::new(config, Millis(0)))
}

fn handle_event(
    number: usize,
    line: &str,
    node: &mut Node<Starting>,
    output: &mut impl Write,
) -> Result<(), Failure> {
    let line: InputLine = serde_json::from_str(line)
        .map_err(|e| line_error(number, &e.to_string()))?;
    let mut actions = Vec::new();
    node.handle(line.at, line.event, &mut actions);
    for action in &actions {
        let out = OutputLine { at: line.at, action };
        let text = serde_json::to_string(&out);
        write_line(output, &text.expect("actions serialize to JSON"))?;
    }
    Ok(())
}

fn write_line(output: &mut impl Write, line: &str) -> Result<(), Failure> {
    let failed = |e: std::io::Error| Failure::Internal(e.to_string());
    writeln!(output, "{line}").map_err(failed)
}

fn line_error(number: usize, message: &str) -> Failure {
    Failure::usage(format!("line {number}: {message}"))
}
