//! Value of a JSON text.

/// Exclusive upper bound of the integers that are accepted. It is below 2^53, so that each is exact as a
/// double.
const MAX_INTEGER: f64 = 9e15;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// null
    Null,
    /// A boolean.
    Bool(bool),
    /// A number.
    Number(f64),
    /// A string.
    Str(String),
    /// An array.
    Array(Vec<Value>),
    /// An object, with its members in the order of the text.
    Object(Vec<(String, Value)>),
}

impl Value {
    /// Returns the value of the first member with this name; `None` if there is none or the value is no
    /// object.
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Value::Object(members) => members.iter().find(|(name, _)| name == key).map(|(_, value)| value),
            _ => None,
        }
    }

    /// Returns the text if the value is a string.
    pub fn as_str(&self) -> Option<&str> {
        match self {
            Value::Str(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the number if the value is one.
    pub fn as_f64(&self) -> Option<f64> {
        match self {
            Value::Number(number) => Some(*number),
            _ => None,
        }
    }

    /// Returns the number if it is a non-negative integer below 9e15.
    pub fn as_u64(&self) -> Option<u64> {
        let is_integer = |number: &f64| number.fract() == 0.0 && (0.0..MAX_INTEGER).contains(number);
        self.as_f64().filter(is_integer).map(|number| number as u64)
    }
}
