//! What members want, in order, and the max-min fair share of one of them without a walk over all.
//!
//! The wants lie sorted in chunks of bounded length, each with its sum: an insertion and a removal cost a search and the
//! length of a chunk, a share the number of chunks.

/// A chunk that grows past this many wants is cut in two.
const LONGEST_CHUNK: usize = 128;

/// What one member wants, with its name: the order among equal wants.
type Want<M> = (u64, M);

/// Neighbours in the order, at least one.
#[derive(Clone, Debug)]
struct Chunk<M> {
    wants: Vec<Want<M>>,
    sum: u128,
}

impl<M> Chunk<M> {
    fn new(wants: Vec<Want<M>>) -> Self {
        let sum = wants.iter().map(|(units, _)| u128::from(*units)).sum();
        Self { wants, sum }
    }
}

/// Where a want lies in the order: wants before it, and their sum.
#[derive(Clone, Copy, Debug, Default)]
struct Position {
    before: usize,
    sum: u128,
}

/// All wants, the least first.
#[derive(Clone, Debug)]
pub(crate) struct Wants<M> {
    chunks: Vec<Chunk<M>>,
    count: usize,
}

impl<M: Ord + Clone> Wants<M> {
    pub(crate) fn new() -> Self {
        Self { chunks: Vec::new(), count: 0 }
    }

    /// The chunk in which a want lies if it is there: the first that does not end before it.
    fn chunk_of(&self, want: &Want<M>) -> usize {
        self.chunks.partition_point(|chunk| chunk.wants.last().is_some_and(|last| last < want))
    }

    /// Adds a want, which is not there yet.
    pub(crate) fn insert(&mut self, want: Want<M>) {
        self.count += 1;
        let at = self.chunk_of(&want).min(self.chunks.len().saturating_sub(1));
        let Some(chunk) = self.chunks.get_mut(at) else {
            self.chunks.push(Chunk::new(vec![want]));
            return;
        };
        let place = chunk.wants.partition_point(|other| *other < want);
        chunk.sum += u128::from(want.0);
        chunk.wants.insert(place, want);
        if chunk.wants.len() > LONGEST_CHUNK {
            let upper = Chunk::new(chunk.wants.split_off(LONGEST_CHUNK / 2));
            chunk.sum -= upper.sum;
            self.chunks.insert(at + 1, upper);
        }
    }

    /// Takes a want away, if it is there.
    pub(crate) fn remove(&mut self, want: &Want<M>) {
        let at = self.chunk_of(want);
        let Some(chunk) = self.chunks.get_mut(at) else { return };
        let Ok(place) = chunk.wants.binary_search(want) else { return };
        chunk.wants.remove(place);
        chunk.sum -= u128::from(want.0);
        self.count -= 1;
        if chunk.wants.is_empty() {
            self.chunks.remove(at);
        }
    }

    /// The max-min fair share of `want` in `pool`; none if it is not there.
    ///
    /// In their order, each want gets itself or an equal part of what is left, whichever is less. Up to some place all
    /// get what they want; from there on all get the same, and the last ones one unit more, so that nothing is left.
    pub(crate) fn share(&self, want: &Want<M>, pool: u64) -> Option<u64> {
        let position = self.position(want)?;
        if self.is_met(position, want.0, pool) {
            return Some(want.0);
        }
        let full = self.first_unmet(pool);
        let rest = (self.count - full.before) as u128;
        let left = u128::from(pool) - full.sum;
        let one_more = ((self.count - position.before) as u128) <= left % rest;
        Some((left / rest) as u64 + u64::from(one_more))
    }

    /// Whether a want at that position is met in full, all before it being met: it is no more than an equal part.
    fn is_met(&self, position: Position, units: u64, pool: u64) -> bool {
        let rest = (self.count - position.before) as u128;
        position.sum + u128::from(units) * rest <= u128::from(pool)
    }

    /// The position of a want.
    fn position(&self, want: &Want<M>) -> Option<Position> {
        let at = self.chunk_of(want);
        let chunk = self.chunks.get(at)?;
        let place = chunk.wants.binary_search(want).ok()?;
        let mut position = Position::default();
        for earlier in &self.chunks[..at] {
            position = position.after_chunk(earlier);
        }
        Some(position.after_wants(&chunk.wants[..place]))
    }

    /// The position of the first want that is not met in full; the end if all are.
    fn first_unmet(&self, pool: u64) -> Position {
        let mut position = Position::default();
        for chunk in &self.chunks {
            let Some(((last, _), others)) = chunk.wants.split_last() else { continue };
            if self.is_met(
                position.after_wants_of_sum(others.len(), chunk.sum - u128::from(*last)),
                *last,
                pool,
            ) {
                position = position.after_chunk(chunk);
                continue;
            }
            for (units, _) in &chunk.wants {
                if !self.is_met(position, *units, pool) {
                    return position;
                }
                position = position.after_wants_of_sum(1, u128::from(*units));
            }
        }
        position
    }
}

impl Position {
    fn after_wants_of_sum(self, count: usize, sum: u128) -> Position {
        Position { before: self.before + count, sum: self.sum + sum }
    }

    fn after_chunk<M>(self, chunk: &Chunk<M>) -> Position {
        self.after_wants_of_sum(chunk.wants.len(), chunk.sum)
    }

    fn after_wants<M>(self, wants: &[Want<M>]) -> Position {
        self.after_wants_of_sum(wants.len(), wants.iter().map(|(units, _)| u128::from(*units)).sum())
    }
}
