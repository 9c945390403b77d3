//! A MessagePack value.

/// One value. Strings are bytes: they are checked as UTF-8 where they are used, so that a message with an invalid one
/// can still be tied to its id.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// nil
    Nil,
    /// A boolean.
    Bool(bool),
    /// A whole number from 0.
    Uint(u64),
    /// A whole number under 0.
    Int(i64),
    /// A floating-point number.
    Float(f64),
    /// A string, not checked as UTF-8.
    Str(Vec<u8>),
    /// Bytes.
    Bin(Vec<u8>),
    /// An array.
    Array(Vec<Value>),
    /// A map, in the order of the wire.
    Map(Vec<(Value, Value)>),
    /// An extension, whose content is skipped.
    Ext,
}
