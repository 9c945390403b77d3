//! Scale tests: what each part costs against its size, the fit of that cost and its value at the size of the target.

pub mod capacity;
pub mod child;
pub mod descriptors;
pub mod fit;
pub mod machine;
pub mod probes;
pub mod slope;
pub mod slopes;
