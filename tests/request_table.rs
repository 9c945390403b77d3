//! The request table and the reservations answer every question from their indexes as a walk over all of them does.
//!
//! Random changes are played against the table and against a plain one, and both are asked the same questions after
//! each. Times, weights and sizes come from small sets, so that requests are often equal, and some differ by so little
//! that their values are equal once rounded. `REQUEST_TABLE_SEED` sets the seed.

mod admission;
