//! Deserialiser for the syntax tree, which records the position of each value.

use super::value_error::ValueError;
use jsonc_parser::{
    ast,
    common::Ranged, //
};
use serde::{
    Deserializer,
    de::{
        self,
        IntoDeserializer,
        Visitor, //
    },
    forward_to_deserialize_any, //
};

/// Value in the syntax tree.
pub(super) struct Node<'a>(pub(super) &'a ast::Value<'a>);

pub(super) fn range(node: &impl Ranged) -> (usize, usize) {
    (node.start(), node.end())
}

impl<'a> Node<'a> {
    fn visit<'de, V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ValueError> {
        match self.0 {
            ast::Value::StringLit(text) => visitor.visit_str(&text.value),
            ast::Value::NumberLit(number) => visit_number(number.value, visitor),
            ast::Value::BooleanLit(flag) => visitor.visit_bool(flag.value),
            ast::Value::NullKeyword(_) => visitor.visit_unit(),
            ast::Value::Array(array) => visitor.visit_seq(Elements {
                remaining: array.elements.iter().enumerate(),
            }),
            ast::Value::Object(object) => visitor.visit_map(Members {
                remaining: object.properties.iter(),
                pending: None,
            }),
        }
    }
}

fn visit_number<'de, V: Visitor<'de>>(text: &str, visitor: V) -> Result<V::Value, ValueError> {
    if let Ok(number) = text.parse::<u64>() {
        return visitor.visit_u64(number);
    }
    if let Ok(number) = text.parse::<i64>() {
        return visitor.visit_i64(number);
    }
    match text.parse::<f64>() {
        Ok(number) => visitor.visit_f64(number),
        Err(error) => Err(de::Error::custom(error)),
    }
}

impl<'de> Deserializer<'de> for Node<'_> {
    type Error = ValueError;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ValueError> {
        let range = range(self.0);
        self.visit(visitor).map_err(|error| error.within(range))
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ValueError> {
        match self.0 {
            ast::Value::NullKeyword(_) => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, ValueError> {
        visitor.visit_newtype_struct(self)
    }

    /// Accepts objects only. Derived implementations would also accept a list with the fields in their order.
    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        _fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ValueError> {
        if let ast::Value::Array(array) = self.0 {
            let error: ValueError = de::Error::custom("use an object");
            return Err(error.within(range(array)));
        }
        self.deserialize_any(visitor)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        _variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ValueError> {
        let range = range(self.0);
        let result = match self.0 {
            ast::Value::StringLit(text) => {
                visitor.visit_enum(text.value.as_ref().into_deserializer())
            }
            ast::Value::Object(object) if object.properties.len() == 1 => {
                let members = Members {
                    remaining: object.properties.iter(),
                    pending: None,
                };
                visitor.visit_enum(de::value::MapAccessDeserializer::new(members))
            }
            _ => Err(de::Error::custom("use a text or an object with one member")),
        };
        result.map_err(|error: ValueError| error.within(range))
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit unit_struct
        seq tuple tuple_struct map identifier ignored_any
    }
}

struct Elements<'a, I: Iterator<Item = (usize, &'a ast::Value<'a>)>> {
    remaining: I,
}

impl<'de, 'a, I> de::SeqAccess<'de> for Elements<'a, I>
where
    I: Iterator<Item = (usize, &'a ast::Value<'a>)>,
{
    type Error = ValueError;

    fn next_element_seed<T: de::DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, ValueError> {
        let Some((index, value)) = self.remaining.next() else {
            return Ok(None);
        };
        let element = seed.deserialize(Node(value));
        element
            .map(Some)
            .map_err(|error| error.within(range(value)).under(format!("[{index}]")))
    }
}

struct Members<'a, I: Iterator<Item = &'a ast::ObjectProp<'a>>> {
    remaining: I,
    pending: Option<&'a ast::ObjectProp<'a>>,
}

impl<'de, 'a, I> de::MapAccess<'de> for Members<'a, I>
where
    I: Iterator<Item = &'a ast::ObjectProp<'a>>,
{
    type Error = ValueError;

    fn next_key_seed<K: de::DeserializeSeed<'de>>(
        &mut self,
        seed: K,
    ) -> Result<Option<K::Value>, ValueError> {
        self.pending = self.remaining.next();
        let Some(member) = self.pending else {
            return Ok(None);
        };
        let name = member.name.as_str();
        let key = seed.deserialize(name.into_deserializer());
        key.map(Some)
            .map_err(|error: ValueError| error.within(range(&member.name)))
    }

    fn next_value_seed<V: de::DeserializeSeed<'de>>(
        &mut self,
        seed: V,
    ) -> Result<V::Value, ValueError> {
        let Some(member) = self.pending.take() else {
            return Err(de::Error::custom("a member has no value"));
        };
        let value = seed.deserialize(Node(&member.value));
        value.map_err(|error| {
            let name = member.name.as_str().to_owned();
            error.within(range(&member.value)).under(name)
        })
    }
}
