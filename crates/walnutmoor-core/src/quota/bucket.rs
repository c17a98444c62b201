/*!
Token bucket whose rate and depth may change.
*/

use crate::time::Millis;

/// Rate and depth of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Size {
    /// Tokens per second.
    pub(super) rate: f64,
    /// Maximum number of tokens.
    pub(super) depth: f64,
}

impl Size {
    /// Returns this size multiplied by a fraction.
    pub(super) fn scaled(self, fraction: f64) -> Size {
        Size { rate: self.rate * fraction, depth: self.depth * fraction }
    }
}

/// Token bucket. Its level may be negative, down to minus its depth.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    size: Size,
    level: f64,
    /// Requests that were denied and told when to retry.
    deferred: f64,
    updated: Millis,
}

impl Bucket {
    /// Creates a bucket with `level` tokens, at most its depth.
    pub(super) fn new(now: Millis, size: Size, level: f64) -> Bucket {
        let level = level.min(size.depth);
        Bucket { size, level, deferred: 0.0, updated: now }
    }

    /// Adds the tokens earned since the last call.
    fn refill(&mut self, now: Millis) {
        let earned = self.size.rate * now.since(self.updated).secs();
        self.updated = now;
        self.deferred = (self.deferred - earned).max(0.0);
        self.level = (self.level + earned).min(self.size.depth);
    }

    /// Refills the bucket and changes its size. An increase in depth is
    /// available at once, and a decrease takes effect at once.
    pub(super) fn resize(&mut self, now: Millis, size: Size) {
        self.refill(now);
        let added = (size.depth - self.size.depth).max(0.0);
        self.level = (self.level + added).min(size.depth);
        self.size = size;
    }

    /// Refills the bucket and changes the fraction of the quota that it holds.
    /// Unlike in [`Bucket::resize`], a larger depth adds no tokens, because
    /// another allocator may have granted them.
    pub(super) fn rescale(&mut self, now: Millis, before: f64, after: f64) {
        self.refill(now);
        self.size.rate *= after / before;
        self.size.depth *= after / before;
        self.level = self.level.min(self.size.depth);
    }

    /// Returns unused tokens, and deducts those that were spent without a
    /// grant.
    pub(super) fn adjust(&mut self, returned: u32, spent: u32) {
        let level = self.level + f64::from(returned) - f64::from(spent);
        self.level = level.clamp(-self.size.depth, self.size.depth);
    }

    /// Takes up to `count` whole tokens and leaves at least `reserve`.
    pub(super) fn take(&mut self, count: u32, reserve: f64) -> u32 {
        let available = (self.level - reserve).max(0.0) as u32;
        let taken = available.min(count);
        self.level -= f64::from(taken);
        taken
    }

    /// Returns half of the depth.
    pub(super) fn half_depth(&self) -> f64 {
        self.size.depth / 2.0
    }

    /// Denies `count` requests and returns after which delay the last of them
    /// is likely to find a token, behind all requests denied before.
    pub(super) fn defer(&mut self, count: u32) -> Millis {
        self.deferred += f64::from(count);
        let missing = (self.deferred - self.level).max(0.0);
        match self.size.rate > 0.0 {
            true => Millis((missing / self.size.rate * 1_000.0) as u64),
            false => Millis::NEVER,
        }
    }
}
