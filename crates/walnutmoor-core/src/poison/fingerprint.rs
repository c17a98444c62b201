/*!
Fingerprints that identify requests by their content.
*/

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::id::ParseError;

/// Length of a fingerprint. 128 bits make it infeasible to craft a request
/// that collides with another client's and gets it refused.
const FINGERPRINT_BYTES: usize = 16;

/// A hash of a request's content, the same for all of its attempts.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Fingerprint {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Fingerprint, ParseError> {
        let error = || ParseError::new("fingerprint", text);
        let is_complete =
            text.len() == 2 * FINGERPRINT_BYTES && text.is_ascii();
        let number = u128::from_str_radix(text, 16).ok();
        let number = number.filter(|_| is_complete).ok_or_else(error)?;
        Ok(Fingerprint(number.to_be_bytes()))
    }
}

/// Computes a fingerprint incrementally, so that request bodies need not be
/// buffered.
#[derive(Clone, Debug)]
pub struct Hasher(blake3::Hasher);

impl Hasher {
    /// Starts with the parts of the request head that identify the request.
    /// Each part is prefixed with its length, so that different lists of parts
    /// never hash alike.
    pub fn new<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Hasher {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Hasher(hasher)
    }

    /// Hashes the next bytes of the body.
    pub fn update(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// Returns the fingerprint of everything hashed so far.
    pub fn finish(&self) -> Fingerprint {
        let mut bytes = [0; FINGERPRINT_BYTES];
        self.0.finalize_xof().fill(&mut bytes);
        Fingerprint(bytes)
    }
}
