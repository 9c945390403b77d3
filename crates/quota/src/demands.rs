//! A sorted collection of the members' demands that computes the max-min fair share of one demand without
//! iterating over all of them.
//!
//! The demands are sorted into chunks of bounded length, each with its sum. Insertion and removal cost a
//! search plus time linear in the length of a chunk; a fair share costs time linear in the number of chunks.

/// Maximum number of demands in a chunk. A chunk that grows beyond it is split in two.
const MAX_CHUNK_LEN: usize = 128;

/// The units that one member wants. Demands with equal units are ordered by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Demand<M> {
    pub units: u64,
    pub name: M,
}

/// A non-empty run of consecutive demands in sort order.
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

/// A position in the sort order: the number of demands before it, and their sum.
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

/// All demands in ascending order.
#[derive(Clone, Debug)]
pub(crate) struct Demands<M> {
    chunks: Vec<Chunk<M>>,
    count: usize,
}

impl<M: Ord + Clone> Demands<M> {
    /// Returns an empty collection.
    pub fn new() -> Self {
        Self { chunks: Vec::new(), count: 0 }
    }

    /// Adds a demand, which must not be present yet.
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

    /// Removes a demand, if it is present.
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

    /// Returns the max-min fair share of `demand` in `pool`, or `None` if the demand is not present.
    ///
    /// In ascending order, each demand receives the smaller of its own units and an equal part of what is
    /// left. So all demands up to some position are met in full. All demands after it receive the same share,
    /// and the last ones receive one unit more, so that the pool is used up.
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

    /// Returns the index of the only chunk that can contain a demand: the first one whose last demand is not
    /// below it.
    fn chunk_of(&self, demand: &Demand<M>) -> usize {
        self.chunks.partition_point(|chunk| chunk.demands.last().is_some_and(|last| last < demand))
    }

    /// Returns whether a demand of `units` at `position` is met in full, provided that all demands before it
    /// are. It is met if it does not exceed an equal part of the remaining pool.
    fn is_met(&self, position: Position, units: u64, pool: u64) -> bool {
        let rest = (self.count - position.before) as u128;
        position.sum + u128::from(units) * rest <= u128::from(pool)
    }

    /// Returns the position of a demand, if it is present.
    fn position(&self, demand: &Demand<M>) -> Option<Position> {
        let index = self.chunk_of(demand);
        let chunk = self.chunks.get(index)?;
        let place = chunk.demands.binary_search(demand).ok()?;
        let chunk_start = self.chunks[..index].iter().fold(Position::default(), Position::after_chunk);
        Some(chunk_start.after_demands(&chunk.demands[..place]))
    }

    /// Returns the position of the first demand that is not met in full, or the end if all demands are met.
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
