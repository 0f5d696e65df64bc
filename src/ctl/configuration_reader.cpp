#include "ctl/configuration_reader.h"

namespace waxwing {
namespace {

absl::StatusOr<configuration> readAnswer(const object_answer &answer)
{
    if (std::holds_alternative<missing_object>(answer))
        return absl::NotFoundError("the revision is not on the platform");
    if (const auto *object = std::get_if<found_object>(&answer)) {
        const auto copy = parseConfiguration(object->text);
        return copy.ok() ? absl::StatusOr<configuration>(*copy->document) : copy.status();
    }
    if (const auto *failed = std::get_if<call_failed>(&answer))
        return absl::UnavailableError(failed->detail);
    if (const auto *refused = std::get_if<call_refused>(&answer))
        return absl::UnavailableError(refused->detail);
    return absl::UnavailableError("unexpected answer of the platform");
}

} // namespace

void configuration_reader::readCurrent(callback onRead)
{
    read({configurationKind, currentName, std::nullopt},
         [onRead = std::move(onRead)](absl::StatusOr<configuration> result) {
             onRead(absl::IsNotFound(result.status()) ? configuration{} : std::move(result));
         });
}

void configuration_reader::readRevision(std::uint64_t revision, callback onRead)
{
    read({historyKind, std::to_string(revision), std::nullopt}, std::move(onRead));
}

void configuration_reader::read(const object_call &call, callback onRead)
{
    m_objects.call(call, [onRead = std::move(onRead)](const object_answer &answer) {
        onRead(readAnswer(answer));
    });
}

} // namespace waxwing
