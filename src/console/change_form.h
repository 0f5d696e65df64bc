#pragma once

#include "configuration/change.h"
#include "console/form_data.h"

#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace waxwing {

/// How a field of a form is shown.
enum class field_kind { Text, Area, Preference, Check };

/// Field of a form.
struct form_field
{
    /// Name of the value.
    std::string name;
    /// Label.
    std::string label;
    /// How it is shown.
    field_kind kind = field_kind::Text;
};

/// Problems of a form by the names of its fields; the empty name is the whole form.
using form_errors = std::map<std::string, std::vector<std::string>>;

/// A form that becomes an edit of the configuration.
struct change_form
{
    /// Path of the form; its steps are below it.
    std::string path;
    /// Heading.
    std::string title;
    /// Fields in order, without reason and permission, which every form has.
    std::vector<form_field> fields;
    /// Reads the edit, or what is wrong with the values.
    std::variant<configuration_edit, form_errors> (*parse)(const form_values &values);
    /// Values for an element that is already there, by the id in the link; defaults otherwise.
    form_values (*fill)(const configuration &document, const std::string &id);
    /// The field that a problem of the document belongs to.
    std::string (*fieldOf)(std::string_view pointer);
};

/// Fields that every form ends with.
const std::vector<form_field> &commonFields();

/// Creates or changes a service.
const change_form &serviceForm();

/// Sets or removes the departure of a backend server.
const change_form &departureForm();

/// The form with the path, or null.
const change_form *findForm(std::string_view path);

/// Problems of the document beside the fields of the form that they belong to.
form_errors placeProblems(const change_form &form, const change_problems &problems);

} // namespace waxwing
