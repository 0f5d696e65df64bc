#include "ctl/ctl_commands.h"

#include "configuration/wall_time_text.h"
#include "ctl/change_id.h"

#include <nlohmann/json.hpp>

#include <event2/event.h>

#include <algorithm>
#include <ostream>

namespace waxwing {
namespace {

/// Spaces of indentation in documents that operators read and edit.
constexpr int indentation = 1;

std::string indented(const std::string &text)
{
    return nlohmann::json::parse(text).dump(indentation);
}

} // namespace

ctl_commands::ctl_commands(event_base *base, ctl_settings settings, std::ostream &out,
                           std::ostream &errors)
    : m_base(base), m_settings(std::move(settings)), m_out(out), m_errors(errors),
      m_connections(base, {}), m_objects(base, m_connections, m_settings.platform),
      m_hosts(m_connections, m_settings.hosts)
{ }

template<typename Result>
Result ctl_commands::wait(const std::function<void(std::function<void(Result)>)> &start)
{
    std::optional<Result> result;
    start([&result](Result value) { result = std::move(value); });
    // Every call has a timeout, so this ends.
    while (!result)
        event_base_loop(m_base, EVLOOP_ONCE);
    return *std::move(result);
}

object_answer ctl_commands::read(const std::string &kind, const std::string &name)
{
    return wait<object_answer>([this, &kind, &name](auto done) {
        m_objects.call({kind, name, std::nullopt}, std::move(done));
    });
}

exit_code ctl_commands::reportRead(const object_answer &answer, const std::string &what)
{
    if (std::holds_alternative<missing_object>(answer)) {
        m_errors << what << " is not on the platform\n";
        return exit_code::Refused;
    }
    const auto *failed = std::get_if<call_failed>(&answer);
    const auto *refused = std::get_if<call_refused>(&answer);
    m_errors << what << " cannot be read: "
             << (failed != nullptr        ? failed->detail
                     : refused != nullptr ? refused->detail
                                          : "unexpected answer")
             << "; entry hosts keep the configuration in force, try again later\n";
    return exit_code::Unreachable;
}

std::optional<configuration> ctl_commands::readCurrent(exit_code &failure)
{
    const auto answer = read(configurationKind, currentName);
    if (std::holds_alternative<missing_object>(answer))
        return configuration{};
    const auto *object = std::get_if<found_object>(&answer);
    if (object == nullptr) {
        failure = reportRead(answer, "the current configuration");
        return std::nullopt;
    }
    const auto parsed = parseConfiguration(object->text);
    if (parsed.ok())
        return *parsed->document;
    m_errors << "the platform's document is not valid: " << parsed.status().message()
             << "\nsend the newest valid one again with 'waxwingctl restore'\n";
    failure = exit_code::Refused;
    return std::nullopt;
}

exit_code ctl_commands::show(std::optional<std::uint64_t> revision)
{
    const auto answer = revision ? read(historyKind, std::to_string(*revision))
                                 : read(configurationKind, currentName);
    const auto *object = std::get_if<found_object>(&answer);
    if (object == nullptr) {
        return reportRead(answer,
                          revision ? "revision " + std::to_string(*revision)
                                   : "the current configuration");
    }
    m_out << indented(object->text) << '\n';
    return exit_code::Ok;
}

exit_code ctl_commands::check(const std::string &text)
{
    const auto problems = checkConfiguration(text);
    reportProblems(problems);
    if (!problems.empty())
        return exit_code::Refused;
    m_out << "the document is valid\n";
    return exit_code::Ok;
}

exit_code ctl_commands::apply(const std::string &text)
{
    if (!requireAuthor())
        return exit_code::Usage;
    // The permission is given by the flag; the change keeps it only where it is needed.
    auto json = nlohmann::json::parse(text, nullptr, false);
    const bool permit = m_settings.allowUncovered && json.is_object();
    if (permit)
        json["allow_uncovered"] = true;
    const auto checked =
        permit ? json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) : text;
    const auto problems = checkConfiguration(checked);
    reportProblems(problems);
    if (!problems.empty())
        return exit_code::Refused;
    const auto document = *parseConfiguration(checked).value().document;

    auto failure = exit_code::Ok;
    const auto current = readCurrent(failure);
    if (!current)
        return failure;
    if (!m_settings.changeId.empty() && current->changeId == m_settings.changeId) {
        m_out << "revision " << current->revision << " is accepted\n";
        return exit_code::Ok;
    }
    if (current->revision != 0 && current->revision != document.revision)
        return reportStale(document, *current);
    return submitEdit(*current, document_edit{document});
}

exit_code ctl_commands::reportStale(const configuration &from, const configuration &current)
{
    m_errors << "conflict: the file was made from revision " << from.revision
             << ", the current one is " << current.revision << " by " << current.changedBy << " ("
             << current.reason << ")\n";
    const auto answer = read(historyKind, std::to_string(from.revision));
    const auto *object = std::get_if<found_object>(&answer);
    const auto base = object != nullptr ? parseConfiguration(object->text)
                                        : absl::StatusOr<configuration_copy>(configuration_copy{});
    if (base.ok() && base->document) {
        m_errors << "changed since:\n";
        writeDifferences(m_errors, compareConfigurations(*base->document, current));
    }
    m_errors << "repeat your change on the output of 'waxwingctl show'\n";
    return exit_code::Refused;
}

exit_code ctl_commands::drain(const std::string &server, const std::string &time)
{
    if (!requireAuthor())
        return exit_code::Usage;
    const auto leavesAt = parseWallTime(time);
    if (!leavesAt.ok()) {
        m_errors << "--at: " << leavesAt.status().message() << '\n';
        return exit_code::Usage;
    }
    auto failure = exit_code::Ok;
    const auto current = readCurrent(failure);
    if (!current)
        return failure;
    return submitEdit(*current, departure_edit{{server}, *leavesAt});
}

bool ctl_commands::isNewest(const configuration &current)
{
    const auto hosts =
        wait<std::vector<host_report>>([this](auto done) { m_hosts.askAll(std::move(done)); });
    const auto newer = std::find_if(hosts.begin(), hosts.end(), [&current](const auto &host) {
        return host.revision > current.revision;
    });
    if (newer == hosts.end())
        return true;
    m_errors << "entry host " << newer->host << " runs revision " << newer->revision
             << ", the platform has revision " << current.revision
             << "; the platform was restored from an old copy: run 'waxwingctl restore' first\n";
    return false;
}

exit_code ctl_commands::submitEdit(const configuration &current, configuration_edit edit)
{
    if (!isNewest(current))
        return exit_code::Refused;
    const auto changeId = m_settings.changeId.empty() ? makeChangeId() : m_settings.changeId;
    const auto prepared = prepareChange(current,
                                        {std::move(edit), changeId, m_settings.changedBy,
                                         m_settings.reason, m_settings.allowUncovered});
    if (const auto *problems = std::get_if<change_problems>(&prepared)) {
        reportProblems(*problems);
        return exit_code::Refused;
    }
    const auto &change = std::get<prepared_change>(prepared);
    writeDifferences(m_out, change.differences);
    return submit(submission(m_settings.submissions, current, change.next),
                  "repeat the command with --change_id=" + changeId
                      + " to find out, it is not applied twice");
}

exit_code ctl_commands::submit(submission sending, const std::string &adviceIfUnknown)
{
    const auto outcome = wait<submission_outcome>(
        [this, &sending](auto done) { m_objects.submit(std::move(sending), std::move(done)); });
    switch (outcome.result) {
    case submission_result::Accepted:
        m_out << outcome.detail << "; 'waxwingctl status' shows where it is in force\n";
        return exit_code::Ok;
    case submission_result::Conflict:
        m_errors << "conflict: " << outcome.detail << "\nchanged since:\n";
        writeDifferences(m_errors, outcome.changedSince);
        return exit_code::Refused;
    case submission_result::Refused:
        m_errors << "refused: " << outcome.detail << '\n';
        return exit_code::Refused;
    case submission_result::Unreachable:
        m_errors << outcome.detail << "; try again later\n";
        return exit_code::Unreachable;
    case submission_result::Unknown:
        break;
    }
    m_errors << outcome.detail << "; " << adviceIfUnknown << '\n';
    return exit_code::Unreachable;
}

exit_code ctl_commands::status()
{
    const auto hosts =
        wait<std::vector<host_report>>([this](auto done) { m_hosts.askAll(std::move(done)); });
    for (const auto &host : hosts) {
        if (host.problem.empty()) {
            m_out << host.host << " zone " << host.zone << " revision " << host.revision
                  << " digest " << host.digest << " members " << host.members.size() << '\n';
        } else {
            m_out << host.address.toString() << " not reached: " << host.problem << '\n';
        }
    }
    auto failure = exit_code::Ok;
    const auto current = readCurrent(failure);
    if (!current) {
        m_errors << "the accepted revision is not known, so nothing is called in force\n";
        return failure;
    }
    const auto summary = summarizeForce(hosts, current->revision);
    for (const auto &line : summary.lines)
        m_out << line << '\n';
    return summary.everywhere ? exit_code::Ok : exit_code::Refused;
}

std::optional<configuration_copy> ctl_commands::findCopy(const host_report &host)
{
    const auto sent = wait<std::optional<std::string>>(
        [this, &host](auto done) { m_hosts.fetchConfiguration(host.address, std::move(done)); });
    const auto recorded = read(historyKind, std::to_string(host.revision));
    const auto *object = std::get_if<found_object>(&recorded);
    for (const auto &text : {sent.value_or(""), object != nullptr ? object->text : ""}) {
        const auto copy = parseConfiguration(text);
        // After a restore, the history may hold another document of the same revision.
        if (copy.ok() && formatDigest(copy->digest) == host.digest)
            return *copy;
    }
    return std::nullopt;
}

exit_code ctl_commands::restore()
{
    const auto hosts =
        wait<std::vector<host_report>>([this](auto done) { m_hosts.askAll(std::move(done)); });
    const auto newest =
        std::max_element(hosts.begin(), hosts.end(),
                         [](const auto &a, const auto &b) { return a.revision < b.revision; });
    if (newest == hosts.end() || newest->revision == 0) {
        m_errors << "no entry host with a configuration was reached; name the admin endpoints of "
                    "entry hosts with --entry_hosts\n";
        return exit_code::Unreachable;
    }
    const auto copy = findCopy(*newest);
    if (!copy) {
        m_errors << "revision " << newest->revision << " with digest " << newest->digest
                 << " is neither sent by entry host " << newest->host
                 << " nor in the history; apply a checked document instead\n";
        return exit_code::Refused;
    }
    m_out << "revision " << copy->document->revision << " of entry host " << newest->host << '\n';
    auto settings = m_settings.submissions;
    settings.restore = true;
    return submit(submission(settings, {}, *copy), "run 'waxwingctl restore' again");
}

void ctl_commands::reportProblems(const change_problems &problems)
{
    for (const auto &problem : problems)
        m_errors << (problem.field.empty() ? "document" : problem.field) << ": " << problem.reason
                 << '\n';
}

void ctl_commands::writeDifferences(std::ostream &stream,
                                    const std::vector<field_difference> &differences)
{
    for (const auto &difference : differences) {
        stream << "  " << difference.field << ": " << difference.before.value_or("(none)") << " -> "
               << difference.after.value_or("(none)") << '\n';
    }
}

bool ctl_commands::requireAuthor()
{
    if (m_settings.reason.empty())
        m_errors << "--reason is required: why is the change made?\n";
    if (m_settings.changedBy.empty())
        m_errors << "--changed_by is required: who makes the change?\n";
    return !m_settings.reason.empty() && !m_settings.changedBy.empty();
}

} // namespace waxwing
