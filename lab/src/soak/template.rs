//! Renderer of the platform's settings templates.
//!
//! `{{a.b}}` is a value, `{{a|json}}` the same as JSON, and nothing where there is none. A section `{{#a}} .. {{/a}}` is rendered once
//! for each entry of a list or table, and once for any other value but null and false; `{{^a}} ..
//! {{/a}}` is rendered if there is no such value. In a section, `{{.}}` is the entry, `{{@}}` its key
//! or index, and `{{,}}` a comma after each entry but the last.

use serde_json::Value;

/// Renders a template with these fields.
///
/// # Errors
///
/// A placeholder or a section that isn't closed.
pub fn render(template: &str, fields: &Value) -> Result<String, String> {
    let mut out = String::new();
    render_part(template, &[Entry { value: fields, key: String::new(), is_last: true }], &mut out)?;
    Ok(out)
}

/// What names are resolved in: all fields, or an entry of a section.
#[derive(Clone)]
struct Entry<'a> {
    value: &'a Value,
    key: String,
    is_last: bool,
}

fn render_part(mut text: &str, scopes: &[Entry<'_>], out: &mut String) -> Result<(), String> {
    while let Some((before, rest)) = text.split_once("{{") {
        out.push_str(before);
        let (tag, rest) = rest.split_once("}}").ok_or("a placeholder isn't closed")?;
        text = match tag.chars().next() {
            Some('#' | '^') => render_section(tag, rest, scopes, out)?,
            _ => {
                out.push_str(&placeholder(tag, scopes));
                rest
            }
        };
    }
    out.push_str(text);
    Ok(())
}

/// Renders a section and returns the text after it.
fn render_section<'t>(
    tag: &str,
    rest: &'t str,
    scopes: &[Entry<'_>],
    out: &mut String,
) -> Result<&'t str, String> {
    let name = &tag[1..];
    let end_tag = format!("{{{{/{name}}}}}");
    let (body, after) =
        rest.split_once(&end_tag).ok_or_else(|| format!("section {name} isn't closed"))?;
    let entries = entries_of(resolve(name, scopes));
    if tag.starts_with('^') {
        if entries.is_empty() {
            render_part(body, scopes, out)?;
        }
        return Ok(after);
    }
    for entry in entries {
        let mut inner = scopes.to_vec();
        inner.push(entry);
        render_part(body, &inner, out)?;
    }
    Ok(after)
}

fn entries_of(value: Option<&Value>) -> Vec<Entry<'_>> {
    let entry = |(index, count, key, value)| Entry { value, key, is_last: index + 1 == count };
    match value {
        None | Some(Value::Null | Value::Bool(false)) => Vec::new(),
        Some(Value::Array(list)) => {
            let of_list = |(index, value)| entry((index, list.len(), format!("{index}"), value));
            list.iter().enumerate().map(of_list).collect()
        }
        Some(Value::Object(table)) => {
            let of_table = |(index, (key, value)): (usize, (&String, _))| {
                entry((index, table.len(), key.clone(), value))
            };
            table.iter().enumerate().map(of_table).collect()
        }
        Some(value) => vec![entry((0, 1, String::new(), value))],
    }
}

fn placeholder(tag: &str, scopes: &[Entry<'_>]) -> String {
    let innermost = scopes.last();
    match tag {
        "@" => innermost.map(|entry| entry.key.clone()).unwrap_or_default(),
        "," => if innermost.is_none_or(|entry| entry.is_last) { "" } else { "," }.to_owned(),
        _ => match tag.strip_suffix("|json") {
            Some(name) => {
                let value = resolve(name, scopes).filter(|value| !value.is_null());
                value.map(Value::to_string).unwrap_or_default()
            }
            None => resolve(tag, scopes).map(plain_text).unwrap_or_default(),
        },
    }
}

fn plain_text(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        Value::Array(list) => list.iter().map(plain_text).collect::<Vec<String>>().join(","),
        Value::Bool(_) | Value::Number(_) | Value::Object(_) => value.to_string(),
    }
}

/// Looks a name up, in the innermost entry first.
fn resolve<'a>(name: &str, scopes: &[Entry<'a>]) -> Option<&'a Value> {
    if name == "." {
        return scopes.last().map(|entry| entry.value);
    }
    let in_entry = |entry: &Entry<'a>| {
        name.split('.').try_fold(entry.value, |value, part| match value {
            Value::Array(list) => list.get(part.parse::<usize>().ok()?),
            _ => value.get(part),
        })
    };
    scopes.iter().rev().find_map(in_entry)
}
