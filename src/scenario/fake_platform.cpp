#include "scenario/fake_platform.h"

namespace waxwing {

using status_kind = platform_result::status_kind;
using method_kind = platform_call::method_kind;

platform_result fake_platform::call(const platform_call &request)
{
    if (m_down)
        return {status_kind::Unavailable, 0, "", "platform is down"};
    if (request.method == method_kind::ListHosts)
        return {status_kind::Done, 0, R"({"hosts":[]})", ""};
    if (request.method == method_kind::Create || request.method == method_kind::Update)
        return write(request);
    return read(request);
}

void fake_platform::put(const std::string &kind, const std::string &name, std::string value)
{
    auto &object = m_objects[{kind, name}];
    ++object.version;
    object.value = std::move(value);
}

platform_result fake_platform::read(const platform_call &request) const
{
    const auto found = m_objects.find({request.kind, request.name});
    // A refused update leaves an entry with version 0, which is no object.
    if (found == m_objects.end() || found->second.version == 0)
        return {status_kind::NotFound, 0, "", ""};
    if (request.method == method_kind::Watch && found->second.version <= request.version)
        return {status_kind::NotModified, found->second.version, "", ""};
    return {status_kind::Done, found->second.version, found->second.value, ""};
}

platform_result fake_platform::write(const platform_call &request)
{
    auto &object = m_objects[{request.kind, request.name}];
    const std::uint64_t expected = request.method == method_kind::Create ? 0 : request.version;
    if (object.version != expected)
        return {status_kind::Conflict, object.version, object.value, ""};
    ++object.version;
    object.value = request.value;
    if (m_answersToLose > 0) {
        --m_answersToLose;
        return {status_kind::Unknown, 0, "", "answer lost"};
    }
    return {status_kind::Done, object.version, object.value, ""};
}

} // namespace waxwing
