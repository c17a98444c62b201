/*!
State charts that the code interprets.

A chart is a YAML file with a name, an initial state and a list of
transitions. The states and triggers of a chart are closed enums in the code;
a chart that names another, leaves one out or has two answers for the same
state and trigger does not load. Code asks the chart for the next state and
never names one itself.

# Example

```
use walnutmoor_core::chart::{Chart, symbols};

symbols! {
    /// A lamp.
    pub enum Lamp { On = "on", Off = "off" }
}
symbols! {
    /// A hand.
    pub enum Hand { Press = "press" }
}

let chart: Chart<Lamp, Hand> = Chart::parse("
name: lamp
initial: off
transitions:
  - { from: off, on: press, to: on }
  - { from: on, on: press, to: off }
").unwrap();
assert_eq!(chart.initial(), Lamp::Off);
assert_eq!(chart.next(Lamp::Off, Hand::Press), Some(Lamp::On));
```
*/

use std::marker::PhantomData;

use serde::Deserialize;

/// A closed set of states or triggers, named as in the chart files.
pub trait Symbol: Copy + Eq + 'static {
    /// Every symbol with its name.
    const ALL: &'static [(Self, &'static str)];

    /// The name of this symbol.
    fn name(self) -> &'static str {
        let found = Self::ALL.iter().find(|(symbol, _)| *symbol == self);
        found.map_or("", |(_, name)| name)
    }

    /// The symbol of this name.
    fn find(name: &str) -> Option<Self> {
        let found = Self::ALL.iter().find(|(_, known)| *known == name);
        found.map(|(symbol, _)| *symbol)
    }
}

/// Declares a closed set of states or triggers with their names.
#[macro_export]
macro_rules! symbols {
    (
        $(#[$doc:meta])*
        pub enum $name:ident {
            $($(#[$inner:meta])* $var:ident = $text:literal),* $(,)?
        }
    ) => {
        $(#[$doc])*
        #[allow(missing_docs)]
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum $name {
            $($(#[$inner])* $var,)*
        }

        impl $crate::chart::Symbol for $name {
            const ALL: &'static [(Self, &'static str)] =
                &[$(($name::$var, $text),)*];
        }
    };
}

pub use symbols;

/// A chart that does not load.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("chart: {0}")]
pub struct Error(String);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    initial: String,
    transitions: Vec<Transition>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Transition {
    from: String,
    on: String,
    to: String,
}

/// A state chart: from a state and a trigger to the next state.
#[derive(Clone, Debug)]
pub struct Chart<S, T> {
    name: String,
    initial: S,
    rows: Vec<(S, T, S)>,
    marker: PhantomData<T>,
}

impl<S: Symbol, T: Symbol> Chart<S, T> {
    /// Reads a chart.
    ///
    /// # Errors
    ///
    /// If the YAML is malformed, if a name is not in the closed set, if a
    /// state cannot be reached or two rows give the same state and trigger.
    pub fn parse(yaml: &str) -> Result<Chart<S, T>, Error> {
        let file: File = serde_saphyr::from_str(yaml)
            .map_err(|error| Error(error.to_string()))?;
        let mut rows: Vec<(S, T, S)> = Vec::new();
        for row in &file.transitions {
            let from = lookup::<S>("state", &row.from)?;
            let on = lookup::<T>("trigger", &row.on)?;
            let to = lookup::<S>("state", &row.to)?;
            if rows.iter().any(|(f, t, _)| (*f, *t) == (from, on)) {
                let text = format!("{} on {} twice", row.from, row.on);
                return Err(Error(text));
            }
            rows.push((from, on, to));
        }
        let initial = lookup::<S>("state", &file.initial)?;
        let chart =
            Chart { name: file.name, initial, rows, marker: PhantomData };
        chart.check()?;
        Ok(chart)
    }

    fn check(&self) -> Result<(), Error> {
        for (state, name) in S::ALL {
            let entered = self.rows.iter().any(|(_, _, to)| to == state);
            if *state != self.initial && !entered {
                return Err(Error(format!("{name} is never entered")));
            }
        }
        Ok(())
    }

    /// The chart's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The state in which everything starts.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// The state after a trigger, or `None` if the chart has no such row.
    pub fn next(&self, state: S, trigger: T) -> Option<S> {
        let mut rows = self.rows.iter();
        let row = rows.find(|(f, t, _)| (*f, *t) == (state, trigger));
        row.map(|(_, _, to)| *to)
    }

    /// The rows as text, one transition a line.
    pub fn table(&self) -> String {
        let mut text =
            format!("{} starts {}\n", self.name, self.initial.name());
        for (from, on, to) in &self.rows {
            let (from, on, to) = (from.name(), on.name(), to.name());
            text.push_str(&format!("  {from} --{on}--> {to}\n"));
        }
        text
    }
}

fn lookup<S: Symbol>(what: &str, name: &str) -> Result<S, Error> {
    S::find(name).ok_or_else(|| Error(format!("no {what} `{name}`")))
}
