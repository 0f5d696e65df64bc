#pragma once

#include "configuration/difference.h"
#include "console/change_form.h"

#include <cstdint>
#include <string>
#include <vector>

namespace waxwing {

/// What a form shows besides its fields.
struct form_state
{
    /// Values of the fields and of the hidden fields `existing`, `base` and `change_id`.
    form_values values;
    /// Problems beside the fields.
    form_errors errors;
    /// What others changed since the form was shown.
    std::vector<field_difference> changedSince;
    /// Forgery token.
    std::string token;
};

/// The form as HTML.
std::string renderForm(const change_form &form, const form_state &state);

/// The preview of a change as HTML, with buttons to send it and to go back to the form.
std::string renderPreview(const change_form &form, const form_state &state,
                          const std::vector<field_difference> &differences);

/// Differences as an HTML table.
std::string renderDifferences(const std::vector<field_difference> &differences);

} // namespace waxwing
