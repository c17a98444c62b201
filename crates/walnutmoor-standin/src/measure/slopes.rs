//! Slopes for the capacity page (filled in with its own command).
