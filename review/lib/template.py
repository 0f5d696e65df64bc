"""Renders a settings template by the rules of the operators' deployment page."""

import json
import re

TOKEN = re.compile(r"\{\{([#^/]?)([^}|]+?)(\|json)?\}\}")


def render(template, fields):
    text, rest = _render(template, [fields], None)
    assert not rest
    return text


def _lookup(name, scopes):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for step in name.split("."):
            if isinstance(value, dict) and step in value:
                value = value[step]
            elif isinstance(value, list) and step.isdigit() and int(step) < len(value):
                value = value[int(step)]
            else:
                break
        else:
            return value
    return None


def _text(value, as_json):
    if as_json:
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(str(each) for each in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def _render(rest, scopes, section):
    """Renders up to the end of `section`; returns the text and what follows the section."""
    result = ""
    while match := TOKEN.search(rest):
        mark, name, as_json = match.group(1), match.group(2).strip(), match.group(3)
        result, rest = result + rest[:match.start()], rest[match.end():]
        if mark == "/":
            assert name == section
            return result, rest
        value = _lookup(name, scopes)
        if not mark:
            result += _text(value, bool(as_json))
            continue
        present = value is not None and value is not False
        entries = [None] if mark == "^" else [value]
        if mark == "#" and isinstance(value, (list, dict)):
            entries = list(value.values()) if isinstance(value, dict) else value
        body, after = "", None
        if present == (mark == "#"):
            for entry in entries:
                scope = scopes + [entry] if isinstance(entry, dict) else scopes
                part, after = _render(rest, scope, name)
                body += part
        if after is None:
            _, after = _render(rest, scopes, name)
        result, rest = result + body, after
    assert section is None
    return result + rest, ""
