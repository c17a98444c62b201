/*!
A token bucket whose rate and depth may change.
*/

use crate::time::Millis;

/// How fast a bucket fills, and how far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Size {
    /// Tokens a second.
    pub(super) rate: f64,
    /// Tokens at most.
    pub(super) depth: f64,
}

impl Size {
    /// A part of it.
    pub(super) fn part(self, part: f64) -> Size {
        Size { rate: self.rate * part, depth: self.depth * part }
    }
}

/// A token bucket. It may owe as much as it may hold.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    size: Size,
    level: f64,
    /// Requests that were turned away and told to come back.
    told: f64,
    at: Millis,
}

impl Bucket {
    /// A bucket with so many tokens.
    pub(super) fn new(now: Millis, size: Size, level: f64) -> Bucket {
        let level = level.min(size.depth);
        Bucket { size, level, told: 0.0, at: now }
    }

    /// Adds what was earned since the last look.
    fn fill(&mut self, now: Millis) {
        let earned = self.size.rate * now.since(self.at).secs();
        self.at = now;
        self.told = (self.told - earned).max(0.0);
        self.level = (self.level + earned).min(self.size.depth);
    }

    /// Fills it, and follows the operator to another size: what is added is
    /// there at once, what is taken away is gone at once.
    pub(super) fn resize(&mut self, now: Millis, size: Size) {
        self.fill(now);
        let more = (size.depth - self.size.depth).max(0.0);
        self.level = (self.level + more).min(size.depth);
        self.size = size;
    }

    /// Fills it, and goes on with another part of the quota. What others
    /// dealt before is not there at once.
    pub(super) fn share(&mut self, now: Millis, before: f64, after: f64) {
        self.fill(now);
        self.size.rate *= after / before;
        self.size.depth *= after / before;
        self.level = self.level.min(self.size.depth);
    }

    /// Takes tokens back, and off those that were used unasked.
    pub(super) fn adjust(&mut self, returned: u32, spent: u32) {
        let level = self.level + f64::from(returned) - f64::from(spent);
        self.level = level.clamp(-self.size.depth, self.size.depth);
    }

    /// Takes up to so many whole tokens, and leaves so many there.
    pub(super) fn take(&mut self, count: u32, kept: f64) -> u32 {
        let whole = (self.level - kept).max(0.0) as u32;
        let taken = whole.min(count);
        self.level -= f64::from(taken);
        taken
    }

    /// Half of what it may hold.
    pub(super) fn half(&self) -> f64 {
        self.size.depth / 2.0
    }

    /// Turns so many away; when the last of them is likely to find a token,
    /// behind all that were turned away before.
    pub(super) fn turn_away(&mut self, count: u32) -> Millis {
        self.told += f64::from(count);
        let missing = (self.told - self.level).max(0.0);
        match self.size.rate > 0.0 {
            true => Millis((missing / self.size.rate * 1_000.0) as u64),
            false => Millis::NEVER,
        }
    }
}
