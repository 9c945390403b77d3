//! Scale tests: what each part costs against its size, the fit of that cost and its value at the size of the target, and
//! the propagation of configuration at that size.
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
