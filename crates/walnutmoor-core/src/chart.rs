/*!
Finite state machines defined by chart files.

A chart is a YAML file with a name, an initial state and a list of transitions.
The states and triggers of a chart are closed enums in the code. A chart that
uses an unknown name, never enters a state or has two transitions for the same
state and trigger is rejected. Code takes the next state from the chart and
does not hard-code transitions.

# Example

```
use walnutmoor_core::chart::{Chart, symbols};

symbols! {
    /// The state of a lamp.
    pub enum Lamp { On = "on", Off = "off" }
}
symbols! {
    /// An action on a lamp.
    pub enum Action { Press = "press" }
}

let chart: Chart<Lamp, Action> = Chart::parse("
name: lamp
initial: off
transitions:
  - { from: off, on: press, to: on }
  - { from: on, on: press, to: off }
").unwrap();
assert_eq!(chart.initial(), Lamp::Off);
assert_eq!(chart.next(Lamp::Off, Action::Press), Some(Lamp::On));
```
*/

use std::marker::PhantomData;

use serde::Deserialize;

/// A closed set of states or triggers, with the names used in chart files.
pub trait Symbol: Copy + Eq + 'static {
    /// All symbols with their names.
    const ALL: &'static [(Self, &'static str)];

    /// The name of this symbol.
    fn name(self) -> &'static str {
        let found = Self::ALL.iter().find(|(symbol, _)| *symbol == self);
        found.map_or("", |(_, name)| name)
    }

    /// The symbol with this name, if any.
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
            $($(#[$inner:meta])* $variant:ident = $text:literal),* $(,)?
        }
    ) => {
        $(#[$doc])*
        #[allow(missing_docs)]
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum $name {
            $($(#[$inner])* $variant,)*
        }

        impl $crate::chart::Symbol for $name {
            const ALL: &'static [(Self, &'static str)] =
                &[$(($name::$variant, $text),)*];
        }
    };
}

pub use symbols;

/// A chart that is not valid.
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

/// A state chart, which maps a state and a trigger to the next state.
#[derive(Clone, Debug)]
pub struct Chart<S, T> {
    name: String,
    initial: S,
    transitions: Vec<(S, T, S)>,
    marker: PhantomData<T>,
}

impl<S: Symbol, T: Symbol> Chart<S, T> {
    /// Parses a chart.
    ///
    /// # Errors
    ///
    /// If the YAML is malformed, a name is unknown, a state is never entered
    /// or two transitions have the same state and trigger.
    pub fn parse(yaml: &str) -> Result<Chart<S, T>, Error> {
        let file: File = serde_saphyr::from_str(yaml)
            .map_err(|error| Error(error.to_string()))?;
        let mut transitions: Vec<(S, T, S)> = Vec::new();
        for row in &file.transitions {
            let from = lookup::<S>("state", &row.from)?;
            let on = lookup::<T>("trigger", &row.on)?;
            let to = lookup::<S>("state", &row.to)?;
            if transitions.iter().any(|(f, t, _)| (*f, *t) == (from, on)) {
                let text = format!(
                    "duplicate transition from `{}` on `{}`",
                    row.from, row.on
                );
                return Err(Error(text));
            }
            transitions.push((from, on, to));
        }
        let initial = lookup::<S>("state", &file.initial)?;
        let chart = Chart {
            name: file.name,
            initial,
            transitions,
            marker: PhantomData,
        };
        chart.check()?;
        Ok(chart)
    }

    /// Checks that every state but the initial one is entered.
    fn check(&self) -> Result<(), Error> {
        for (state, name) in S::ALL {
            let entered =
                self.transitions.iter().any(|(_, _, to)| to == state);
            if *state != self.initial && !entered {
                return Err(Error(format!("state `{name}` is never entered")));
            }
        }
        Ok(())
    }

    /// The name of the chart.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// The state after a trigger, or `None` if the chart has no such
    /// transition.
    pub fn next(&self, state: S, trigger: T) -> Option<S> {
        let mut transitions = self.transitions.iter();
        let row = transitions.find(|(f, t, _)| (*f, *t) == (state, trigger));
        row.map(|(_, _, to)| *to)
    }

    /// The transitions as text, one per line.
    pub fn table(&self) -> String {
        let mut text =
            format!("{} starts {}\n", self.name, self.initial.name());
        for (from, on, to) in &self.transitions {
            let (from, on, to) = (from.name(), on.name(), to.name());
            text.push_str(&format!("  {from} --{on}--> {to}\n"));
        }
        text
    }
}

fn lookup<S: Symbol>(what: &str, name: &str) -> Result<S, Error> {
    S::find(name).ok_or_else(|| Error(format!("unknown {what} `{name}`")))
}
