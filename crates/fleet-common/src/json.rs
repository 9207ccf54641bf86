//! Reading JSON strictly by pointers: every fault names the pointer at which it lies.
use sonic_rs::{JsonType, JsonValueTrait, LazyValue};

const DEEP: usize = 32;

/// Why a JSON text cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{pointer}: {reason}")]
pub struct ParseError {
    /// JSON pointer of the field that is wrong; empty for the whole text.
    pub pointer: String,
    /// What is wrong with it.
    pub reason: String,
}

/// A place in a checked text; reading it names the pointer when something is off.
pub struct JsonField<'a> {
    pointer: String,
    value: LazyValue<'a>,
}

fn fault<T>(pointer: &str, what: impl ToString) -> Result<T, ParseError> {
    Err(ParseError { pointer: pointer.to_string(), reason: what.to_string() })
}

/// Checks a whole text: well formed, not too deep, no field twice. Gives its root.
/// ```
/// use fleet_common::json;
/// assert!(json::root(br#"{"a":{"b":1}}"#).is_ok());
/// assert_eq!(json::root(br#"{"a":{"b":1,"b":2}}"#).err().unwrap().pointer, "/a/b");
/// assert!(json::root(b"{\"a\":").is_err());
/// ```
pub fn root(text: &[u8]) -> Result<JsonField<'_>, ParseError> {
    let mut depth = 0usize;
    let (mut quoted, mut escaped) = (false, false);
    for byte in text {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            b'{' | b'[' if !quoted => depth += 1,
            b'}' | b']' if !quoted => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > DEEP {
            return fault("", format!("nested deeper than {DEEP}"));
        }
    }
    let whole: sonic_rs::Value = match sonic_rs::from_slice(text) {
        Ok(value) => value,
        Err(e) => {
            return fault("", format!("not JSON: {e}").lines().next().unwrap_or("not JSON"));
        }
    };
    drop(whole);
    match sonic_rs::from_slice::<LazyValue>(text) {
        Ok(value) => {
            let place = JsonField { pointer: String::new(), value };
            place.check_twice()?;
            Ok(place)
        }
        Err(e) => fault("", e),
    }
}

impl<'a> JsonField<'a> {
    /// The pointer of this place.
    /// ```
    /// assert_eq!(fleet_common::json::root(b"{}").unwrap().pointer(), "");
    /// ```
    pub fn pointer(&self) -> &str {
        &self.pointer
    }

    /// The raw text of this place.
    /// ```
    /// assert_eq!(fleet_common::json::root(b"[1]").unwrap().raw(), "[1]");
    /// ```
    pub fn raw(&self) -> &str {
        self.value.as_raw_str()
    }

    fn check_twice(&self) -> Result<(), ParseError> {
        match self.value.get_type() {
            JsonType::Object => {
                let mut names = std::collections::HashSet::new();
                for (name, place) in self.fields()? {
                    if !names.insert(name) {
                        return fault(&place.pointer, "field given twice");
                    }
                    place.check_twice()?;
                }
                Ok(())
            }
            JsonType::Array => self.items()?.iter().try_for_each(JsonField::check_twice),
            _ => Ok(()),
        }
    }

    /// The fields of an object.
    /// ```
    /// let root = fleet_common::json::root(br#"{"a":1}"#).unwrap();
    /// assert_eq!(root.fields().unwrap()[0].0, "a");
    /// ```
    pub fn fields(&self) -> Result<Vec<(String, JsonField<'_>)>, ParseError> {
        if self.value.get_type() != JsonType::Object {
            return fault(&self.pointer, "an object is wanted");
        }
        sonic_rs::to_object_iter(self.raw())
            .map(|pair| match pair {
                Ok((name, value)) => {
                    let escaped = name.replace('~', "~0").replace('/', "~1");
                    Ok((name.to_string(), JsonField { pointer: format!("{}/{escaped}", self.pointer), value }))
                }
                Err(e) => fault(&self.pointer, e),
            })
            .collect()
    }

    /// The items of an array.
    /// ```
    /// assert_eq!(fleet_common::json::root(b"[1,2]").unwrap().items().unwrap().len(), 2);
    /// ```
    pub fn items(&self) -> Result<Vec<JsonField<'_>>, ParseError> {
        if self.value.get_type() != JsonType::Array {
            return fault(&self.pointer, "an array is wanted");
        }
        sonic_rs::to_array_iter(self.raw())
            .enumerate()
            .map(|(at, item)| match item {
                Ok(value) => Ok(JsonField { pointer: format!("{}/{at}", self.pointer), value }),
                Err(e) => fault(&self.pointer, e),
            })
            .collect()
    }

    /// The fields of an object that may hold only these names.
    /// ```
    /// let root = fleet_common::json::root(br#"{"a":1,"z":2}"#).unwrap();
    /// assert_eq!(root.only_fields(&["a"]).err().unwrap().pointer, "/z");
    /// ```
    pub fn only_fields(&self, names: &[&str]) -> Result<Vec<(String, JsonField<'_>)>, ParseError> {
        let fields = self.fields()?;
        for (name, place) in &fields {
            if !names.contains(&name.as_str()) {
                return fault(&place.pointer, "unknown field");
            }
        }
        Ok(fields)
    }

    /// A field that must be there.
    /// ```
    /// let root = fleet_common::json::root(br#"{"a":"x"}"#).unwrap();
    /// assert_eq!(root.required("a").unwrap().text().unwrap(), "x");
    /// assert_eq!(root.required("b").err().unwrap().pointer, "/b");
    /// ```
    pub fn required(&self, name: &str) -> Result<JsonField<'_>, ParseError> {
        match self.optional(name)? {
            Some(place) => Ok(place),
            None => fault(&format!("{}/{name}", self.pointer), "missing"),
        }
    }

    /// A field that may be there.
    /// ```
    /// assert!(fleet_common::json::root(b"{}").unwrap().optional("a").unwrap().is_none());
    /// ```
    pub fn optional(&self, name: &str) -> Result<Option<JsonField<'_>>, ParseError> {
        Ok(self.fields()?.into_iter().find(|(n, _)| n == name).map(|(_, place)| place))
    }

    /// A non-empty text.
    /// ```
    /// assert!(fleet_common::json::root(b"[7]").unwrap().items().unwrap()[0].text().is_err());
    /// ```
    pub fn text(&self) -> Result<String, ParseError> {
        match self.value.as_str() {
            Some(text) if !text.is_empty() => Ok(text.to_string()),
            _ => fault(&self.pointer, "a text that is not empty is wanted"),
        }
    }

    /// A whole number within bounds.
    /// ```
    /// let root = fleet_common::json::root(br#"{"a":5}"#).unwrap();
    /// assert_eq!(root.required("a").unwrap().number(0, 9).unwrap(), 5);
    /// assert!(root.required("a").unwrap().number(6, 9).is_err());
    /// ```
    pub fn number(&self, least: u64, most: u64) -> Result<u64, ParseError> {
        match self.value.as_u64() {
            Some(number) if (least..=most).contains(&number) => Ok(number),
            _ => fault(&self.pointer, format!("a whole number from {least} to {most} is wanted")),
        }
    }

    /// A truth value.
    /// ```
    /// let root = fleet_common::json::root(br#"{"a":true}"#).unwrap();
    /// assert!(root.required("a").unwrap().boolean().unwrap());
    /// ```
    pub fn boolean(&self) -> Result<bool, ParseError> {
        match self.value.as_bool() {
            Some(truth) => Ok(truth),
            None => fault(&self.pointer, "true or false is wanted"),
        }
    }

    /// A fault at this place.
    /// ```
    /// assert_eq!(fleet_common::json::root(b"{}").unwrap().error("odd").reason, "odd");
    /// ```
    pub fn error(&self, what: impl ToString) -> ParseError {
        ParseError { pointer: self.pointer.clone(), reason: what.to_string() }
    }
}

/// Quotes a text as JSON.
/// ```
/// assert_eq!(fleet_common::json::quote("a\"b"), "\"a\\\"b\"");
/// ```
pub fn quote(text: &str) -> String {
    sonic_rs::to_string(text).unwrap_or_else(|_| "\"\"".into())
}

/// Writes a value as JSON; where it cannot be written, an object with the error.
/// ```
/// assert_eq!(fleet_common::json::to_text(&[1, 2]), "[1,2]");
/// ```
pub fn to_text(value: &impl serde::Serialize) -> String {
    match sonic_rs::to_string(value) {
        Ok(text) => text,
        Err(error) => format!("{{\"error\":{}}}", quote(&error.to_string())),
    }
}
