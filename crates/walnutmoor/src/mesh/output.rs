/*!
The queue of bytes to be written to a caller.

Response heads and bodies are queued without copying, and vectored writes send
several of them in one system call.
*/

use std::{collections::VecDeque, io::IoSlice};

use bytes::{Buf, Bytes};

/// A queue of byte buffers, read in order through [`Buf`].
#[derive(Debug, Default)]
pub struct Output {
    parts: VecDeque<Bytes>,
    remaining: usize,
}

impl Output {
    /// Appends bytes to the queue.
    pub fn push(&mut self, part: Bytes) {
        if part.is_empty() {
            return;
        }
        self.remaining += part.len();
        self.parts.push_back(part);
    }

    /// Drops all bytes.
    pub fn clear(&mut self) {
        *self = Output::default();
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
