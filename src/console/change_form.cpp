#include "console/change_form.h"

#include "configuration/wall_time_text.h"

namespace waxwing {
namespace {

std::variant<configuration_edit, form_errors> parseDeparture(const form_values &values)
{
    departure_edit result{{valueOf(values, "server")}, std::nullopt};
    const auto text = valueOf(values, "leaves_at");
    if (text.empty())
        return result;
    const auto time = parseWallTime(text);
    if (!time.ok())
        return form_errors{{"leaves_at", {std::string(time.status().message())}}};
    result.leavesAt = *time;
    return result;
}

form_values fillDeparture(const configuration &document, const std::string &id)
{
    const auto *server = document.findServer({id});
    return {{"server", id},
            {"leaves_at",
             server != nullptr && server->leavesAt ? formatWallTime(*server->leavesAt) : ""}};
}

std::string departureFieldOf(std::string_view pointer)
{
    if (pointer.rfind("/backend_servers/", 0) != 0)
        return "";
    return pointer.find("/leaves_at") == std::string_view::npos ? "server" : "leaves_at";
}

} // namespace

const std::vector<form_field> &commonFields()
{
    static const std::vector<form_field> fields{
        {"reason", "Reason for the change", field_kind::Text},
        {"allow_uncovered", "Permit shards without a replica before the shutdown",
         field_kind::Check},
    };
    return fields;
}

const change_form &departureForm()
{
    static const change_form form{
        "/departure",
        "Departure of a backend server",
        {{"server", "Backend server", field_kind::Text},
         {"leaves_at", "Leaves at, such as 2027-03-31T22:00:00Z; empty to let it stay",
          field_kind::Text}},
        parseDeparture,
        fillDeparture,
        departureFieldOf,
    };
    return form;
}

const change_form *findForm(std::string_view path)
{
    for (const auto *form : {&serviceForm(), &departureForm()}) {
        if (form->path == path)
            return form;
    }
    return nullptr;
}

form_errors placeProblems(const change_form &form, const change_problems &problems)
{
    form_errors result;
    for (const auto &problem : problems) {
        if (problem.field == "/reason")
            result["reason"].push_back(problem.reason);
        else if (const auto field = form.fieldOf(problem.field); !field.empty())
            result[field].push_back(problem.field + ": " + problem.reason);
        else
            result[""].push_back(problem.field + ": " + problem.reason);
    }
    return result;
}

} // namespace waxwing
