#pragma once

#include "configuration/change.h"
#include "ctl/exit_code.h"
#include "ctl/host_client.h"
#include "ctl/object_client.h"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>

namespace waxwing {

/// What `waxwingctl` is told by its flags.
struct ctl_settings
{
    /// The platform.
    object_client_settings platform;
    /// The entry hosts.
    host_client_settings hosts;
    /// Retries of a submission.
    submission_settings submissions;
    /// Operator, recorded with each change.
    std::string changedBy;
    /// Why the change is made.
    std::string reason;
    /// Id of the change; a new one if it is empty.
    std::string changeId;
    /// Whether the change may leave shards without a replica.
    bool allowUncovered = false;

    bool operator==(const ctl_settings &) const = default;
};

/// The commands of `waxwingctl`. Each runs the event loop until it has ended, writes its result to
/// `out` and problems to `errors`.
class ctl_commands
{
public:
    /// The arguments outlive the commands.
    ctl_commands(event_base *base, ctl_settings settings, std::ostream &out, std::ostream &errors);

    /// Writes the current document, or an earlier revision from the history.
    exit_code show(std::optional<std::uint64_t> revision);
    /// Checks the text of a document without sending anything.
    exit_code check(const std::string &text);
    /// Replaces the document that `text` was made from.
    exit_code apply(const std::string &text);
    /// Sets the departure of a backend server.
    exit_code drain(const std::string &server, const std::string &time);
    /// Writes what entry hosts run.
    exit_code status();
    /// Sends the newest configuration of the entry hosts to the platform again.
    exit_code restore();

private:
    /// Runs the loop until `start` has called the function it is given.
    template<typename Result>
    Result wait(const std::function<void(std::function<void(Result)>)> &start);

    object_answer read(const std::string &kind, const std::string &name);
    /// The current document, of revision 0 if there is none. Writes the problem otherwise.
    std::optional<configuration> readCurrent(exit_code &failure);
    /// Whether no entry host runs a newer revision than the platform has.
    bool isNewest(const configuration &current);
    exit_code submitEdit(const configuration &current, configuration_edit edit);
    /// The document that the host runs, from itself or from the history.
    std::optional<configuration_copy> findCopy(const host_report &host);
    exit_code submit(submission sending, const std::string &adviceIfUnknown);
    exit_code reportStale(const configuration &from, const configuration &current);
    exit_code reportRead(const object_answer &answer, const std::string &what);
    void reportProblems(const change_problems &problems);
    void writeDifferences(std::ostream &stream, const std::vector<field_difference> &differences);
    bool requireAuthor();

    event_base *m_base;
    ctl_settings m_settings;
    std::ostream &m_out;
    std::ostream &m_errors;
    http::client m_connections;
    object_client m_objects;
    host_client m_hosts;
};

} // namespace waxwing
