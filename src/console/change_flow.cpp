#include "console/change_flow.h"

#include <absl/strings/numbers.h>

#include <algorithm>

namespace waxwing {
namespace {

form_again showAgain(const sent_form &sent, form_errors errors, int status)
{
    return {{sent.values, std::move(errors), {}, {}}, status};
}

form_again showConflict(const sent_form &sent, const configuration &current,
                        std::vector<field_difference> changedSince)
{
    auto result =
        showAgain(sent,
                  {{"",
                    {"Revision " + std::to_string(current.revision) + " by " + current.changedBy
                     + " was accepted since you began: " + current.reason}}},
                  409);
    result.state.changedSince = std::move(changedSince);
    result.state.values["base"] = std::to_string(current.revision);
    // The change that is made next is another one.
    result.state.values["change_id"].clear();
    return result;
}

/// The change of a form, or the form with its problems.
std::variant<prepared_change, form_again> prepare(const sent_form &sent, const configuration &base)
{
    const auto parsed = sent.form->parse(sent.values);
    if (const auto *errors = std::get_if<form_errors>(&parsed))
        return showAgain(sent, *errors, 422);
    auto prepared = prepareChange(
        base,
        {std::get<configuration_edit>(parsed), valueOf(sent.values, "change_id"), sent.operatorName,
         valueOf(sent.values, "reason"), valueOf(sent.values, "allow_uncovered") == "yes"});
    if (const auto *problems = std::get_if<change_problems>(&prepared))
        return showAgain(sent, placeProblems(*sent.form, *problems), 422);
    return std::get<prepared_change>(std::move(prepared));
}

flow_result describe(const sent_form &sent, const submission_outcome &outcome)
{
    switch (outcome.result) {
    case submission_result::Accepted:
        return change_accepted{outcome.detail};
    case submission_result::Conflict:
        return showConflict(sent, *outcome.current->document, outcome.changedSince);
    case submission_result::Refused:
        return showAgain(sent, {{"", {outcome.detail}}}, 422);
    case submission_result::Unreachable:
        return showAgain(sent, {{"", {outcome.detail + "; try again later"}}}, 503);
    case submission_result::Unknown:
        break;
    }
    return showAgain(sent, {{"", {outcome.detail + "; send it again, it is not applied twice"}}},
                     503);
}

} // namespace

change_flow::change_flow(object_client &objects, host_client &hosts, submission_settings settings)
    : m_objects(objects), m_reader(objects), m_hosts(hosts), m_settings(settings)
{ }

void change_flow::preview(const sent_form &sent, const callback &onEnd)
{
    readBase(sent, onEnd, [sent, onEnd](const configuration &base, const configuration &current) {
        // A change whose outcome was unknown is sent again by the same form.
        if (base != current && current.changeId == valueOf(sent.values, "change_id")) {
            onEnd(change_accepted{"revision " + std::to_string(current.revision) + " is accepted"});
            return;
        }
        if (base != current) {
            onEnd(showConflict(sent, current, compareConfigurations(base, current)));
            return;
        }
        auto prepared = prepare(sent, base);
        if (auto *again = std::get_if<form_again>(&prepared))
            onEnd(std::move(*again));
        else
            onEnd(change_preview{std::get<prepared_change>(prepared).differences});
    });
}

void change_flow::send(const sent_form &sent, const callback &onEnd)
{
    readBase(sent, onEnd,
             [this, sent, onEnd](const configuration &base, const configuration &current) {
                 submit(sent, base, current, onEnd);
             });
}

void change_flow::submit(const sent_form &sent, const configuration &base,
                         const configuration &current, const callback &onEnd)
{
    m_hosts.askAll([this, sent, base, current, onEnd](const std::vector<host_report> &hosts) {
        const bool isOld =
            std::any_of(hosts.begin(), hosts.end(), [&current](const host_report &host) {
                return host.revision > current.revision;
            });
        if (isOld) {
            onEnd(showAgain(sent,
                            {{"",
                              {"The platform was restored from an old copy: entry hosts run a "
                               "newer revision. Run 'waxwingctl restore' first."}}},
                            409));
            return;
        }
        auto prepared = prepare(sent, base);
        if (auto *again = std::get_if<form_again>(&prepared)) {
            onEnd(std::move(*again));
            return;
        }
        m_objects.submit(
            submission(m_settings, base, std::get<prepared_change>(prepared).next),
            [sent, onEnd](const submission_outcome &outcome) { onEnd(describe(sent, outcome)); });
    });
}

void change_flow::readBase(
    const sent_form &sent, const callback &onEnd,
    const std::function<void(configuration base, configuration current)> &onRead)
{
    m_reader.readCurrent([this, sent, onEnd, onRead](absl::StatusOr<configuration> current) {
        if (!current.ok()) {
            onEnd(showAgain(
                sent, {{"", {"Nothing was changed: " + std::string(current.status().message())}}},
                503));
            return;
        }
        std::uint64_t revision = 0;
        if (!absl::SimpleAtoi(valueOf(sent.values, "base"), &revision)) {
            onEnd(showAgain(sent, {{"", {"The form is not complete; open it again."}}}, 400));
            return;
        }
        if (revision == current->revision) {
            onRead(*current, *current);
            return;
        }
        m_reader.readRevision(revision,
                              [sent, onEnd, onRead, current](absl::StatusOr<configuration> base) {
                                  if (base.ok())
                                      onRead(*base, *current);
                                  else
                                      onEnd(showConflict(sent, *current, {}));
                              });
    });
}

} // namespace waxwing
