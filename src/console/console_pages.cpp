#include "console/console_pages.h"

#include "console/html.h"
#include "console/overview_page.h"
#include "ctl/change_id.h"

#include <absl/strings/numbers.h>

#include <fmt/format.h>

#include <vector>

namespace waxwing {
namespace {

/// Revisions on one page of the history; each is one read of the platform.
constexpr std::uint64_t historyLength = 10;

http::response unauthorized()
{
    auto result =
        htmlPage(401, "Not signed in", "<p>Sign in with your operator name and password.</p>");
    result.headers.emplace_back("WWW-Authenticate",
                                "Basic realm=\"waxwing-console\", charset=\"UTF-8\"");
    return result;
}

http::response notFound()
{
    return htmlPage(404, "Not found", "<p>There is no such page.</p>");
}

/// Reads of the history that are being collected, newest first.
struct history_reads
{
    std::vector<absl::StatusOr<configuration>> revisions;
    std::size_t missing = 0;
};

} // namespace

console_pages::console_pages(event_base *base, const clock &time, const console_settings &settings,
                             operator_list operators)
    : m_time(time), m_connections(base, {}), m_objects(base, m_connections, settings.platform),
      m_reader(m_objects), m_hosts(m_connections, settings.hosts),
      m_flow(m_objects, m_hosts, settings.submissions),
      m_tokens(settings.formSecret, settings.formLifetime), m_operators(std::move(operators))
{ }

void console_pages::handle(const http::request &message, http::responder to)
{
    if (message.path == "/style.css") {
        to.respond(styleSheet());
        return;
    }
    const auto header = http::findHeader(message.headers, "Authorization");
    const auto name = header ? m_operators.authenticate(*header) : std::nullopt;
    if (!name) {
        to.respond(unauthorized());
        return;
    }
    const auto shared = std::make_shared<http::responder>(std::move(to));
    if (message.method == "GET")
        handleGet(message, *name, shared);
    else if (message.method == "POST")
        handlePost(message, *name, shared);
    else
        shared->respond(htmlPage(405, "Method not allowed", "<p>Use the forms.</p>"));
}

void console_pages::handleGet(const http::request &message, const std::string &operatorName,
                              const shared_responder &to)
{
    if (message.path == "/")
        showOverview(to);
    else if (message.path == "/history")
        showHistory(message, to);
    else if (const auto *form = findForm(message.path))
        showNewForm(*form, http::findHeader(message.query, "id").value_or(""), operatorName, to);
    else
        to->respond(notFound());
}

void console_pages::showOverview(const shared_responder &to)
{
    m_hosts.askAll([this, to](const std::vector<host_report> &hosts) {
        m_reader.readCurrent([this, to, hosts](const absl::StatusOr<configuration> &current) {
            to->respond(htmlPage(current.ok() ? 200 : 503, "Overview",
                                 renderOverview(current, hosts, m_time.wallNow())));
        });
    });
}

void console_pages::showHistory(const http::request &message, const shared_responder &to)
{
    const auto wanted = http::findHeader(message.query, "until");
    m_reader.readCurrent([this, to, wanted](const absl::StatusOr<configuration> &current) {
        if (!current.ok()) {
            to->respond(htmlPage(503, "History", renderHistory({current})));
            return;
        }
        std::uint64_t last = current->revision;
        if (std::uint64_t until = 0; wanted && absl::SimpleAtoi(*wanted, &until))
            last = std::min(last, until);
        const auto count = std::min(last, historyLength);
        if (count == 0) {
            to->respond(htmlPage(200, "History", "<p>There is no configuration yet.</p>"));
            return;
        }
        const auto reads = std::make_shared<history_reads>();
        reads->revisions.assign(count, absl::UnknownError("not read"));
        reads->missing = count;
        for (std::uint64_t i = 0; i < count; ++i) {
            // The history of the current revision may not be written yet.
            const auto onRead = [to, reads, i, last,
                                 count](const absl::StatusOr<configuration> &found) {
                reads->revisions[i] = found;
                if (--reads->missing != 0)
                    return;
                auto body = renderHistory(reads->revisions);
                if (last > count) {
                    body += fmt::format("<p><a href=\"/history?until={}\">Earlier</a></p>\n",
                                        last - count + 1);
                }
                to->respond(htmlPage(200, "History", body));
            };
            if (last - i == current->revision)
                onRead(current);
            else
                m_reader.readRevision(last - i, onRead);
        }
    });
}

void console_pages::showNewForm(const change_form &form, const std::string &id,
                                const std::string &operatorName, const shared_responder &to)
{
    m_reader.readCurrent(
        [this, &form, id, operatorName, to](const absl::StatusOr<configuration> &current) {
            if (!current.ok()) {
                to->respond(htmlPage(503, form.title, renderHistory({current})));
                return;
            }
            sent_form sent{&form, form.fill(*current, id), operatorName};
            sent.values["base"] = std::to_string(current->revision);
            showForm(sent, {{sent.values, {}, {}, {}}, 200}, to);
        });
}

void console_pages::showForm(const sent_form &sent, form_again again, const shared_responder &to)
{
    auto &values = again.state.values;
    if (valueOf(values, "change_id").empty())
        values["change_id"] = makeChangeId();
    again.state.token = m_tokens.make(sent.operatorName, sent.form->path, m_time.wallNow());
    to->respond(htmlPage(again.status, sent.form->title, renderForm(*sent.form, again.state)));
}

bool console_pages::checkToken(const sent_form &sent, const shared_responder &to)
{
    const auto state = m_tokens.check(valueOf(sent.values, "token"), sent.operatorName,
                                      sent.form->path, m_time.wallNow());
    if (state == token_state::Expired) {
        showForm(sent,
                 {{sent.values, {{"", {"The form was open for too long. Send it again."}}}, {}, {}},
                  403},
                 to);
    } else if (state == token_state::Forged) {
        to->respond(htmlPage(403, "Refused",
                             "<p>This form was not made by the console for you. Open the form "
                             "again.</p>"));
    }
    return state == token_state::Valid;
}

void console_pages::handlePost(const http::request &message, const std::string &operatorName,
                               const shared_responder &to)
{
    const auto slash = message.path.rfind('/');
    const auto step = message.path.substr(slash + 1);
    const auto *form = findForm(message.path.substr(0, slash));
    if (form == nullptr || (step != "preview" && step != "send" && step != "edit")) {
        to->respond(notFound());
        return;
    }
    const sent_form sent{form, parseFormBody(message.body), operatorName};
    if (!checkToken(sent, to))
        return;
    const auto onEnd = [this, sent, to](const flow_result &result) {
        showResult(sent, result, to);
    };
    if (step == "edit")
        showForm(sent, {{sent.values, {}, {}, {}}, 200}, to);
    else if (step == "preview")
        m_flow.preview(sent, onEnd);
    else
        m_flow.send(sent, onEnd);
}

void console_pages::showResult(const sent_form &sent, const flow_result &result,
                               const shared_responder &to)
{
    if (const auto *again = std::get_if<form_again>(&result)) {
        showForm(sent, *again, to);
        return;
    }
    if (const auto *accepted = std::get_if<change_accepted>(&result)) {
        to->respond(htmlPage(200, "Accepted",
                             "<p>" + escapeHtml(accepted->detail)
                                 + ". The overview shows where it is in force.</p>"));
        return;
    }
    form_state state{sent.values, {}, {}, {}};
    state.token = m_tokens.make(sent.operatorName, sent.form->path, m_time.wallNow());
    to->respond(
        htmlPage(200, "Preview",
                 renderPreview(*sent.form, state, std::get<change_preview>(result).differences)));
}

} // namespace waxwing
