//! Counted byte strings and lists for frames; counts are bounded before anything is allocated.
use deku::prelude::*;

/// Largest byte string a frame may carry.
pub const BYTES_MAX: u32 = 64 << 20;
/// Largest number of items in a list of a frame.
pub const ITEMS_MAX: u32 = 1 << 20;

/// Bytes with a 32 bit count in front.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Bytes {
    #[deku(assert = "*count <= BYTES_MAX")]
    count: u32,
    #[deku(count = "count")]
    data: Vec<u8>,
}

impl Bytes {
    /// The bytes held.
    /// ```
    /// assert_eq!(fleet_common::Bytes::from(vec![1, 2]).as_slice(), &[1, 2]);
    /// ```
    pub fn as_slice(&self) -> &[u8] {
        &self.data
    }
}

impl From<Vec<u8>> for Bytes {
    fn from(data: Vec<u8>) -> Self {
        Bytes { count: data.len() as u32, data }
    }
}

/// UTF-8 text with a 32 bit count in front; broken text reads as an empty one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct Text(Bytes);

impl Text {
    /// The text held.
    /// ```
    /// assert_eq!(fleet_common::Text::from("tanoa").as_str(), "tanoa");
    /// ```
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(self.0.as_slice()).unwrap_or("")
    }
}

impl From<&str> for Text {
    fn from(text: &str) -> Self {
        Text(text.as_bytes().to_vec().into())
    }
}

impl From<String> for Text {
    fn from(text: String) -> Self {
        Text(text.into_bytes().into())
    }
}

impl std::fmt::Display for Text {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A list with a 32 bit count in front.
#[derive(Clone, Debug, PartialEq, Eq, Hash, DekuRead, DekuWrite)]
#[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
pub struct List<T>
where
    T: for<'a> DekuReader<'a, deku::ctx::Endian> + DekuWriter<deku::ctx::Endian>,
{
    #[deku(assert = "*count <= ITEMS_MAX")]
    count: u32,
    #[deku(count = "count")]
    items: Vec<T>,
}

impl<T> List<T>
where
    T: for<'a> DekuReader<'a, deku::ctx::Endian> + DekuWriter<deku::ctx::Endian>,
{
    /// The items, borrowed.
    /// ```
    /// let list: fleet_common::List<u64> = vec![3u64, 4].into();
    /// assert_eq!(list.items().iter().sum::<u64>(), 7);
    /// ```
    pub fn items(&self) -> &[T] {
        &self.items
    }

    /// The items, owned.
    /// ```
    /// let list: fleet_common::List<u64> = vec![3u64].into();
    /// assert_eq!(list.into_items(), vec![3]);
    /// ```
    pub fn into_items(self) -> Vec<T> {
        self.items
    }
}

impl<T> From<Vec<T>> for List<T>
where
    T: for<'a> DekuReader<'a, deku::ctx::Endian> + DekuWriter<deku::ctx::Endian>,
{
    fn from(items: Vec<T>) -> Self {
        List { count: items.len() as u32, items }
    }
}

/// Declares structs and enums that travel between our own processes.
/// ```
/// fleet_common::messages! {
///     pub struct Ping { pub wait_ms: u64 }
///     pub enum Talk { 1 = Ping(Ping), 2 = Silence }
/// }
/// use deku::{DekuContainerRead, DekuContainerWrite};
/// let talk = Talk::Ping(Ping { wait_ms: 9 });
/// assert_eq!(Talk::from_bytes((&talk.to_bytes().unwrap(), 0)).unwrap().1, talk);
/// ```
#[macro_export]
macro_rules! messages {
    () => {};
    ($(#[$meta:meta])* pub struct $name:ident { $($(#[$fm:meta])* pub $field:ident : $kind:ty),* $(,)? } $($rest:tt)*) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, deku::DekuRead, deku::DekuWrite)]
        #[deku(endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
        pub struct $name { $($(#[$fm])* pub $field: $kind),* }
        $crate::messages! { $($rest)* }
    };
    ($(#[$meta:meta])* pub enum $name:ident { $($(#[$vm:meta])* $id:literal = $case:ident $(($inner:ty))?),* $(,)? } $($rest:tt)*) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, deku::DekuRead, deku::DekuWrite)]
        #[deku(id_type = "u8", endian = "endian", ctx = "endian: deku::ctx::Endian", ctx_default = "deku::ctx::Endian::Little")]
        pub enum $name { $($(#[$vm])* #[deku(id = $id)] $case $(($inner))?),* }
        $crate::messages! { $($rest)* }
    };
}
