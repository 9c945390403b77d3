//! What members want, in order, and the max-min fair share of one of them without iterating over all.
//!
//! The demands lie sorted in chunks of bounded length, each with its sum. An insertion and a removal cost a search and
//! the length of a chunk; a share costs the number of chunks.

/// A chunk that grows past this many demands is split in two.
const MAX_CHUNK_LEN: usize = 128;

/// What one member wants. Equal demands are ordered by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Demand<M> {
    pub units: u64,
    pub name: M,
}

/// Neighbours in the order, at least one.
#[derive(Clone, Debug)]
struct Chunk<M> {
    demands: Vec<Demand<M>>,
    sum: u128,
}

impl<M> Chunk<M> {
    fn new(demands: Vec<Demand<M>>) -> Self {
        let sum = demands.iter().map(|demand| u128::from(demand.units)).sum();
        Self { demands, sum }
    }
}

/// A place in the order: how many demands lie before it, and their sum.
#[derive(Clone, Copy, Debug, Default)]
struct Position {
    before: usize,
    sum: u128,
}

impl Position {
    fn after(self, count: usize, sum: u128) -> Position {
        Position { before: self.before + count, sum: self.sum + sum }
    }

    fn after_chunk<M>(self, chunk: &Chunk<M>) -> Position {
        self.after(chunk.demands.len(), chunk.sum)
    }

    fn after_demands<M>(self, demands: &[Demand<M>]) -> Position {
        self.after(demands.len(), demands.iter().map(|demand| u128::from(demand.units)).sum())
    }
}

/// All demands, the least first.
#[derive(Clone, Debug)]
pub(crate) struct Demands<M> {
    chunks: Vec<Chunk<M>>,
    count: usize,
}

impl<M: Ord + Clone> Demands<M> {
    /// Returns no demands.
    pub fn new() -> Self {
        Self { chunks: Vec::new(), count: 0 }
    }

    /// Adds a demand, which is not there yet.
    pub fn insert(&mut self, demand: Demand<M>) {
        self.count += 1;
        let index = self.chunk_of(&demand).min(self.chunks.len().saturating_sub(1));
        let Some(chunk) = self.chunks.get_mut(index) else {
            self.chunks.push(Chunk::new(vec![demand]));
            return;
        };
        let place = chunk.demands.partition_point(|other| *other < demand);
        chunk.sum += u128::from(demand.units);
        chunk.demands.insert(place, demand);
        if chunk.demands.len() > MAX_CHUNK_LEN {
            let upper = Chunk::new(chunk.demands.split_off(MAX_CHUNK_LEN / 2));
            chunk.sum -= upper.sum;
            self.chunks.insert(index + 1, upper);
        }
    }

    /// Removes a demand, if it is there.
    pub fn remove(&mut self, demand: &Demand<M>) {
        let index = self.chunk_of(demand);
        let Some(chunk) = self.chunks.get_mut(index) else { return };
        let Ok(place) = chunk.demands.binary_search(demand) else { return };
        chunk.demands.remove(place);
        chunk.sum -= u128::from(demand.units);
        self.count -= 1;
        if chunk.demands.is_empty() {
            self.chunks.remove(index);
        }
    }

    /// Returns the max-min fair share of `demand` in `pool`, or `None` if it is not there.
    ///
    /// In their order, each demand gets itself or an equal part of what is left, whichever is less. Up to some place all
    /// get what they want; from there on all get the same, and the last ones one unit more, so that nothing is left.
    pub fn fair_share(&self, demand: &Demand<M>, pool: u64) -> Option<u64> {
        let position = self.position(demand)?;
        if self.is_met(position, demand.units, pool) {
            return Some(demand.units);
        }
        let first_unmet = self.first_unmet(pool);
        let rest = (self.count - first_unmet.before) as u128;
        let left = u128::from(pool) - first_unmet.sum;
        let one_more = ((self.count - position.before) as u128) <= left % rest;
        Some((left / rest) as u64 + u64::from(one_more))
    }

    /// Returns the chunk in which a demand lies if it is there: the first that does not end before it.
    fn chunk_of(&self, demand: &Demand<M>) -> usize {
        self.chunks.partition_point(|chunk| chunk.demands.last().is_some_and(|last| last < demand))
    }

    /// Returns whether a demand at that position is met in full, all before it being met: it is no more than an equal
    /// part.
    fn is_met(&self, position: Position, units: u64, pool: u64) -> bool {
        let rest = (self.count - position.before) as u128;
        position.sum + u128::from(units) * rest <= u128::from(pool)
    }

    /// Returns the position of a demand, if it is there.
    fn position(&self, demand: &Demand<M>) -> Option<Position> {
        let index = self.chunk_of(demand);
        let chunk = self.chunks.get(index)?;
        let place = chunk.demands.binary_search(demand).ok()?;
        let chunk_start = self.chunks[..index].iter().fold(Position::default(), Position::after_chunk);
        Some(chunk_start.after_demands(&chunk.demands[..place]))
    }

    /// Returns the position of the first demand that is not met in full; the end if all are.
    fn first_unmet(&self, pool: u64) -> Position {
        let mut position = Position::default();
        for chunk in &self.chunks {
            let Some((last, others)) = chunk.demands.split_last() else { continue };
            let at_last = position.after(others.len(), chunk.sum - u128::from(last.units));
            if self.is_met(at_last, last.units, pool) {
                position = position.after_chunk(chunk);
                continue;
            }
            for demand in &chunk.demands {
                if !self.is_met(position, demand.units, pool) {
                    return position;
                }
                position = position.after(1, u128::from(demand.units));
            }
        }
        position
    }
}
