#pragma once

#include <map>
#include <string>

namespace waxwing {

/// Values of a form by the names of its fields.
using form_values = std::map<std::string, std::string>;

/// Parses a body of type `application/x-www-form-urlencoded`. The first of several values counts.
form_values parseFormBody(const std::string &body);

/// The value of the field, or nothing.
std::string valueOf(const form_values &values, const std::string &name);

} // namespace waxwing
