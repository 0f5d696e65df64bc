#pragma once

#include "console/change_form.h"
#include "console/console_settings.h"
#include "console/form_page.h"
#include "ctl/configuration_reader.h"
#include "ctl/host_client.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace waxwing {

/// A form that an operator has sent.
struct sent_form
{
    /// The form.
    const change_form *form = nullptr;
    /// Its values.
    form_values values;
    /// Operator.
    std::string operatorName;
};

/// The change of a sent form may be sent on.
struct change_preview
{
    /// What it changes.
    std::vector<field_difference> differences;
};

/// The sent form has to be shown again.
struct form_again
{
    /// Values, problems and what others changed.
    form_state state;
    /// HTTP status.
    int status = 422;
};

/// The change is accepted.
struct change_accepted
{
    /// Explanation.
    std::string detail;
};

/// What becomes of a sent form.
using flow_result = std::variant<change_preview, form_again, change_accepted>;

/// Checks sent forms and submits their changes. Keeps nothing between two forms: the revision that
/// a form was made from and the id of its change travel in hidden fields.
class change_flow
{
public:
    using callback = std::function<void(flow_result)>;

    /// The arguments outlive the flow and its calls.
    change_flow(object_client &objects, host_client &hosts, submission_settings settings);

    /// Checks the form against the current configuration.
    void preview(const sent_form &sent, const callback &onEnd);
    /// Checks the form and submits its change.
    void send(const sent_form &sent, const callback &onEnd);

private:
    void readBase(const sent_form &sent, const callback &onEnd,
                  const std::function<void(configuration base, configuration current)> &onRead);
    void submit(const sent_form &sent, const configuration &base, const configuration &current,
                const callback &onEnd);

    object_client &m_objects;
    configuration_reader m_reader;
    host_client &m_hosts;
    submission_settings m_settings;
};

} // namespace waxwing
