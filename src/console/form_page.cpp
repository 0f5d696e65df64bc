#include "console/form_page.h"

#include "console/html.h"

#include <fmt/format.h>

namespace waxwing {
namespace {

/// Hidden fields of every form.
constexpr const char *hiddenNames[] = {"existing", "base", "change_id"};

std::string renderErrors(const form_errors &errors, const std::string &field)
{
    std::string result;
    const auto found = errors.find(field);
    if (found == errors.end())
        return result;
    for (const auto &error : found->second)
        result += fmt::format("<p class=\"error\">{}</p>\n", escapeHtml(error));
    return result;
}

std::string hidden(const std::string &name, const std::string &value)
{
    return fmt::format("<input type=\"hidden\" name=\"{}\" value=\"{}\">\n", escapeHtml(name),
                       escapeHtml(value));
}

std::string renderHidden(const form_state &state)
{
    std::string result = hidden("token", state.token);
    for (const char *name : hiddenNames)
        result += hidden(name, valueOf(state.values, name));
    return result;
}

std::string renderChoice(const std::string &value, const char *choice)
{
    return fmt::format("<option value=\"{0}\"{1}>{0}</option>", choice,
                       value == choice ? " selected" : "");
}

std::string renderInput(const form_field &field, const std::string &value)
{
    const auto text = escapeHtml(value);
    switch (field.kind) {
    case field_kind::Text:
        return fmt::format("<input id=\"{0}\" name=\"{0}\" size=\"50\" value=\"{1}\">", field.name,
                           text);
    case field_kind::Area:
        // HTML drops a line break right after the tag.
        return fmt::format("<textarea id=\"{0}\" name=\"{0}\" rows=\"10\">\n{1}</textarea>",
                           field.name, text);
    case field_kind::Preference:
        return fmt::format("<select id=\"{0}\" name=\"{0}\">{1}{2}</select>", field.name,
                           renderChoice(value, "early"), renderChoice(value, "whole"));
    case field_kind::Check:
        break;
    }
    return fmt::format("<input type=\"checkbox\" id=\"{0}\" name=\"{0}\" value=\"yes\"{1}>",
                       field.name, value == "yes" ? " checked" : "");
}

std::string renderField(const form_field &field, const form_state &state)
{
    return fmt::format("<label for=\"{}\">{}</label>\n{}\n{}", field.name, escapeHtml(field.label),
                       renderInput(field, valueOf(state.values, field.name)),
                       renderErrors(state.errors, field.name));
}

} // namespace

std::string renderForm(const change_form &form, const form_state &state)
{
    std::string result = renderErrors(state.errors, "");
    if (!state.changedSince.empty()) {
        result += "<h2>Changed by others since you began</h2>\n"
            + renderDifferences(state.changedSince)
            + "<p>What you typed is below. Check it against these changes, then go on.</p>\n";
    }
    result += fmt::format("<form method=\"post\" action=\"{}/preview\">\n", form.path);
    result += renderHidden(state);
    for (const auto &field : form.fields)
        result += renderField(field, state);
    for (const auto &field : commonFields())
        result += renderField(field, state);
    return result + "<p><button>Preview</button></p></form>\n";
}

std::string renderPreview(const change_form &form, const form_state &state,
                          const std::vector<field_difference> &differences)
{
    std::string result = renderDifferences(differences);
    result += fmt::format("<p>Reason: {}</p>\n", escapeHtml(valueOf(state.values, "reason")));
    result += fmt::format("<form method=\"post\" action=\"{}/send\">\n", form.path);
    result += renderHidden(state);
    for (const auto *fields : {&form.fields, &commonFields()}) {
        for (const auto &field : *fields)
            result += hidden(field.name, valueOf(state.values, field.name));
    }
    return result
        + fmt::format("<p><button>Send</button> <button formaction=\"{}/edit\">Back to the form"
                      "</button></p></form>\n",
                      form.path);
}

std::string renderDifferences(const std::vector<field_difference> &differences)
{
    std::string result =
        "<table><thead><tr><th>Field</th><th>Before</th><th>After</th></tr></thead><tbody>\n";
    for (const auto &difference : differences) {
        result += fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td></tr>\n",
                              escapeHtml(difference.field),
                              escapeHtml(difference.before.value_or("(none)")),
                              escapeHtml(difference.after.value_or("(none)")));
    }
    return result + "</tbody></table>\n";
}

} // namespace waxwing
