#pragma once

#include "configuration/change.h"
#include "configuration/object_call.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace waxwing {

/// Settings of a `submission`.
struct submission_settings
{
    /// Failed calls after which the submission ends.
    std::uint32_t failures = 5;
    /// Pause after the first failed call; doubled after each further one.
    std::chrono::milliseconds pause{200};
    /// Whether `next` is an accepted revision that replaces any older, missing or invalid document.
    bool restore = false;

    bool operator==(const submission_settings &) const = default;
};

/// How a submission ended.
enum class submission_result {
    /// The change is accepted, once.
    Accepted,
    /// The configuration was changed by somebody else; the change did not take effect.
    Conflict,
    /// The change did not take effect and would not if it was sent again.
    Refused,
    /// The change did not take effect, because the platform cannot be reached.
    Unreachable,
    /// The change may have taken effect. Sending it again with the same change id is safe.
    Unknown,
};

/// End of a submission.
struct submission_outcome
{
    /// How it ended.
    submission_result result = submission_result::Unknown;
    /// Explanation for the operator.
    std::string detail;
    /// On conflict, what changed since the document that the change was made from.
    std::vector<field_difference> changedSince;
    /// On conflict, the current document.
    std::optional<configuration_copy> current;
};

/// One change on its way to the platform: reads the current document, records it in the history,
/// updates it on the condition that nobody else has, and finds out what happened where an answer
/// is lost. Each step is one platform call; time and network are left to the caller.
///
/// The history of a revision is written before the next revision is, so that a change is still
/// recognised by its id when others were made on top of it.
class submission
{
public:
    /// A call to be made, with the number that its answer is given back with.
    struct call_step
    {
        /// Number of the call.
        std::uint64_t number = 0;
        /// The call.
        object_call call;
    };
    /// What comes next; nothing if the answer was not expected.
    using step = std::variant<std::monostate, call_step, submission_outcome>;

    /// `base` is the document that `next` was made from, of revision 0 if there was none.
    submission(submission_settings settings, configuration base, configuration_copy next);

    /// The first step.
    step start();
    /// Handles the answer to the call `number`. An answer that arrives twice is ignored.
    step onAnswer(std::uint64_t number, const object_answer &answer);

private:
    enum class phase { Reading, RecordingBase, Writing, ReadingSuccessor, RecordingNext, Finished };

    step call(phase next, object_call what);
    step read();
    step write();
    step recordBase();
    step recordNext();
    step retry(const std::string &detail);
    step finish(submission_result result, std::string detail);

    step onRead(const object_answer &answer);
    step onBaseRecorded(const object_answer &answer);
    step onWritten(const object_answer &answer);
    step onSuccessor(const object_answer &answer);

    step onObject(const found_object &object);
    step onCurrent(const configuration_copy &current);
    step onMissing();
    step onOlder();
    step onNewer(const configuration_copy &current);
    step conflict();

    submission_settings m_settings;
    configuration m_base;
    configuration_copy m_next;
    phase m_phase = phase::Finished;
    std::uint64_t m_number = 0;
    std::uint32_t m_failures = 0;
    /// Version of the object that is replaced, 0 if it must not exist.
    std::uint64_t m_version = 0;
    /// Whether a write was sent whose effect is not known.
    bool m_uncertain = false;
    std::optional<object_call> m_lastCall;
    std::optional<configuration_copy> m_current;
};

} // namespace waxwing
