//! The request table and the reservations answer every query from their indexes as a scan over all entries
//! does.
//!
//! Random changes are applied to the table and to a model without indexes, and the answers of both to the
//! same queries are compared after each change. Times, weights and sizes come from small sets, so that
//! requests are often equal, and some differ by so little that their values are equal once rounded.
//! `REQUEST_TABLE_SEED` sets the seed.

mod admission;
