/*!
Bytes that wait to be written to a caller.

Heads and bodies stand in a row as they are, so that one system call writes
several of them and no body is copied.
*/

use std::{collections::VecDeque, io::IoSlice};

use bytes::{Buf, Bytes};

/// Bytes in order.
#[derive(Debug, Default)]
pub struct Output {
    parts: VecDeque<Bytes>,
    remaining: usize,
}

impl Output {
    /// Adds bytes behind all others.
    pub fn push(&mut self, part: Bytes) {
        if part.is_empty() {
            return;
        }
        self.remaining += part.len();
        self.parts.push_back(part);
    }
}

impl Buf for Output {
    fn remaining(&self) -> usize {
        self.remaining
    }

    fn chunk(&self) -> &[u8] {
        self.parts.front().map_or(&[], |part| part)
    }

    fn chunks_vectored<'a>(&'a self, into: &mut [IoSlice<'a>]) -> usize {
        let filled = self.parts.len().min(into.len());
        for (slice, part) in into.iter_mut().zip(&self.parts) {
            *slice = IoSlice::new(part);
        }
        filled
    }

    fn advance(&mut self, mut count: usize) {
        assert!(count <= self.remaining, "advanced past the end");
        self.remaining -= count;
        while let Some(part) = self.parts.front_mut() {
            if count < part.len() {
                part.advance(count);
                return;
            }
            count -= part.len();
            self.parts.pop_front();
        }
    }
}
