/*!
The number of offered requests that one admitted request stands for.
*/

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::id::ParseError;

/// Hundredths per unit of weight.
const HUNDREDTHS: f64 = 100.0;

/// Number of offered requests that one admitted request stands for: the
/// inverse of its probability of admission, in 1 to [`Weight::MAX`].
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
#[serde(from = "u16", into = "u16")]
pub struct Weight(u16);

impl Weight {
    /// The weight of a request that was certain to be admitted.
    pub const ONE: Weight = Weight(100);

    /// The largest weight. Larger ones would make the estimate of an account's
    /// demand depend on single requests.
    pub const MAX: Weight = Weight(6_400);

    /// Returns the weight of a request that was admitted with this
    /// probability.
    pub fn of_probability(probability: f64) -> Weight {
        // A probability that is no number counts as certain.
        let weight = HUNDREDTHS / probability.clamp(0.0, 1.0);
        match weight.is_nan() {
            true => Weight::ONE,
            // The conversion saturates.
            false => Weight::from(weight.round() as u16),
        }
    }

    /// Returns the weight as a number.
    pub fn get(self) -> f64 {
        f64::from(self.0) / HUNDREDTHS
    }
}

impl From<u16> for Weight {
    /// Clamps a weight in hundredths to the valid range.
    fn from(hundredths: u16) -> Weight {
        Weight(hundredths.clamp(Weight::ONE.0, Weight::MAX.0))
    }
}

impl From<Weight> for u16 {
    fn from(weight: Weight) -> u16 {
        weight.0
    }
}

impl fmt::Display for Weight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.get())
    }
}

impl FromStr for Weight {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Weight, ParseError> {
        let error = || ParseError::new("weight", text);
        let weight: f64 = text.parse().map_err(|_| error())?;
        let range = Weight::ONE.get()..=Weight::MAX.get();
        match range.contains(&weight) {
            true => Ok(Weight((weight * HUNDREDTHS).round() as u16)),
            false => Err(error()),
        }
    }
}
