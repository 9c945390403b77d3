//! A MessagePack value.

/// One value. Strings are bytes: whether they are UTF-8 is looked at where they are used, so that a message with
/// a bad one can still be tied to its id.
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
    /// A string, perhaps not UTF-8.
    Str(Vec<u8>),
    /// Bytes.
    Bin(Vec<u8>),
    /// An array.
    Array(Vec<Value>),
    /// A map, in the order of the wire.
    Map(Vec<(Value, Value)>),
    /// An extension, whose content is passed over.
    Ext,
}
