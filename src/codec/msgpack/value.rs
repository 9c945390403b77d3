//! Value of a MessagePack message.

/// A MessagePack value. Strings are bytes and are checked as UTF-8 only where they are used, so that a
/// message with an invalid string can still be attributed to its message id.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// nil
    Nil,
    /// A boolean.
    Bool(bool),
    /// A non-negative integer.
    Uint(u64),
    /// A negative integer.
    Int(i64),
    /// A floating-point number.
    Float(f64),
    /// A string, not checked as UTF-8.
    Str(Vec<u8>),
    /// Bytes.
    Bin(Vec<u8>),
    /// An array.
    Array(Vec<Value>),
    /// A map, with its pairs in the order of the wire.
    Map(Vec<(Value, Value)>),
    /// An extension value, whose content is skipped.
    Ext,
}
