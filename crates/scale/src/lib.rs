//! Scale tests: measure the cost of each part as a function of its size, fit it, extrapolate it to the size
//! of the target fleet, and test the propagation of configuration at that size.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod capacity;
pub mod child;
mod child_process;
pub mod descriptors;
pub mod fit;
pub mod machine;
pub mod probes;
pub mod propagation;
mod resident_growth;
pub mod slope;
pub mod slopes;
