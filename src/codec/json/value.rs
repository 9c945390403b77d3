//! A JSON value.

/// Upper end of the whole numbers that are read, below 2^53: each is exact as a double.
const MAX_WHOLE: f64 = 9e15;

/// One value.
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
    /// An object, in the order of the text.
    Object(Vec<(String, Value)>),
}

impl Value {
    /// Returns the first member of an object with this name.
    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Value::Object(members) => members.iter().find(|(name, _)| name == key).map(|(_, value)| value),
            _ => None,
        }
    }

    /// Returns the text of a string.
    pub fn as_str(&self) -> Option<&str> {
        match self {
            Value::Str(text) => Some(text),
            _ => None,
        }
    }

    /// Returns the number.
    pub fn as_f64(&self) -> Option<f64> {
        match self {
            Value::Number(number) => Some(*number),
            _ => None,
        }
    }

    /// Returns the number if it is whole and not negative.
    pub fn as_u64(&self) -> Option<u64> {
        let is_whole = |number: &f64| number.fract() == 0.0 && (0.0..MAX_WHOLE).contains(number);
        self.as_f64().filter(is_whole).map(|number| number as u64)
    }
}
