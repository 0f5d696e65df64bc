#include "configuration/submission.h"

#include <utility>

namespace waxwing {
namespace {

object_call historyCall(std::uint64_t revision, std::optional<std::string> text)
{
    return {historyKind, std::to_string(revision), std::move(text)};
}

} // namespace

submission::submission(submission_settings settings, configuration base, configuration_copy next)
    : m_settings(settings), m_base(std::move(base)), m_next(std::move(next))
{ }

submission::step submission::start()
{
    return read();
}

submission::step submission::onAnswer(std::uint64_t number, const object_answer &answer)
{
    if (number != m_number || m_phase == phase::Finished)
        return {};
    if (const auto *failed = std::get_if<call_failed>(&answer); failed != nullptr) {
        m_uncertain = m_uncertain || (m_phase == phase::Writing && failed->mayHaveTakenEffect);
        // The change is accepted; whoever makes the next one records this revision.
        if (m_phase == phase::RecordingNext)
            return onAnswer(number, object_written{});
        return retry(failed->detail);
    }
    if (const auto *refused = std::get_if<call_refused>(&answer);
        refused != nullptr && m_phase != phase::RecordingNext)
        return finish(submission_result::Refused, refused->detail);
    switch (m_phase) {
    case phase::Reading:
        return onRead(answer);
    case phase::RecordingBase:
        return onBaseRecorded(answer);
    case phase::Writing:
        return onWritten(answer);
    case phase::ReadingSuccessor:
        return onSuccessor(answer);
    case phase::RecordingNext:
    case phase::Finished:
        break;
    }
    return finish(submission_result::Accepted,
                  "revision " + std::to_string(m_next.document->revision) + " is accepted");
}

submission::step submission::call(phase next, object_call what)
{
    m_phase = next;
    m_lastCall = what;
    return call_step{++m_number, std::move(what)};
}

submission::step submission::read()
{
    return call(phase::Reading, {configurationKind, currentName, std::nullopt});
}

submission::step submission::write()
{
    return call(phase::Writing, {configurationKind, currentName, m_next.text, m_version});
}

submission::step submission::recordBase()
{
    return call(phase::RecordingBase, historyCall(m_base.revision, formatConfiguration(m_base)));
}

submission::step submission::recordNext()
{
    return call(phase::RecordingNext, historyCall(m_next.document->revision, m_next.text));
}

submission::step submission::retry(const std::string &detail)
{
    if (++m_failures >= m_settings.failures) {
        return m_uncertain
            ? finish(submission_result::Unknown, "the change may have taken effect: " + detail)
            : finish(submission_result::Unreachable, "the change did not take effect: " + detail);
    }
    auto again = *m_lastCall;
    // Only a read tells whether a write whose answer was lost took effect.
    if (m_phase == phase::Writing && m_uncertain)
        again = {configurationKind, currentName, std::nullopt};
    again.pause = m_settings.pause * (1U << (m_failures - 1));
    return call(m_phase == phase::Writing && m_uncertain ? phase::Reading : m_phase,
                std::move(again));
}

submission::step submission::finish(submission_result result, std::string detail)
{
    m_phase = phase::Finished;
    return submission_outcome{result, std::move(detail), {}, {}};
}

submission::step submission::onRead(const object_answer &answer)
{
    if (const auto *object = std::get_if<found_object>(&answer))
        return onObject(*object);
    return onMissing();
}

submission::step submission::onBaseRecorded(const object_answer &)
{
    // A conflict means that the revision is already recorded.
    return write();
}

submission::step submission::onWritten(const object_answer &answer)
{
    if (std::holds_alternative<object_written>(answer))
        return recordNext();
    const auto *conflicting = std::get_if<write_conflict>(&answer);
    if (conflicting == nullptr || !conflicting->current)
        return retry("the platform reports a conflict without the current document");
    return onObject(*conflicting->current);
}

submission::step submission::onSuccessor(const object_answer &answer)
{
    const auto *object = std::get_if<found_object>(&answer);
    if (object != nullptr) {
        const auto successor = parseConfiguration(object->text);
        if (successor.ok() && successor->document->changeId == m_next.document->changeId)
            return finish(submission_result::Accepted,
                          "revision " + std::to_string(m_next.document->revision)
                              + " was accepted; newer revisions follow it");
        return conflict();
    }
    if (!m_uncertain)
        return conflict();
    return finish(submission_result::Unknown,
                  "the change may have taken effect before others changed the configuration");
}

submission::step submission::onObject(const found_object &object)
{
    m_version = object.version;
    const auto current = parseConfiguration(object.text);
    if (current.ok())
        return onCurrent(*current);
    if (m_settings.restore)
        return write();
    return finish(submission_result::Refused,
                  "the platform's document cannot be used; restore the newest valid one first: "
                      + std::string(current.status().message()));
}

submission::step submission::onCurrent(const configuration_copy &current)
{
    if (current.document->changeId == m_next.document->changeId)
        return recordNext();
    if (m_settings.restore && current.document->revision < m_next.document->revision)
        return write();
    if (current.document->revision < m_base.revision)
        return onOlder();
    if (*current.document == m_base)
        return recordBase();
    return onNewer(current);
}

submission::step submission::onMissing()
{
    m_version = 0;
    if (m_base.revision == 0 || m_settings.restore)
        return write();
    return finish(submission_result::Refused,
                  "the platform has lost the configuration; restore it first");
}

submission::step submission::onOlder()
{
    // Reads of the platform may be stale, so it is asked again before a restore is assumed.
    if (m_failures + 1 < m_settings.failures) {
        m_phase = phase::Reading;
        m_lastCall = object_call{configurationKind, currentName, std::nullopt};
        return retry("the platform serves an older revision");
    }
    if (m_uncertain)
        return finish(submission_result::Unknown,
                      "the change may have taken effect; the platform serves an older revision");
    return finish(submission_result::Refused,
                  "the platform serves a revision older than " + std::to_string(m_base.revision)
                      + "; if it was restored from an old copy, restore the newest revision first");
}

submission::step submission::onNewer(const configuration_copy &current)
{
    m_current = current;
    if (current.document->revision <= m_base.revision + 1)
        return conflict();
    return call(phase::ReadingSuccessor, historyCall(m_base.revision + 1, std::nullopt));
}

submission::step submission::conflict()
{
    m_phase = phase::Finished;
    submission_outcome result;
    result.result = submission_result::Conflict;
    result.detail = "the change did not take effect: revision "
        + std::to_string(m_current->document->revision) + " by " + m_current->document->changedBy
        + " was accepted since revision " + std::to_string(m_base.revision);
    result.changedSince = compareConfigurations(m_base, *m_current->document);
    result.current = m_current;
    return result;
}

} // namespace waxwing
