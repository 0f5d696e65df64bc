#pragma once

#include "ctl/object_client.h"

#include <absl/status/statusor.h>

#include <functional>

namespace waxwing {

/// Reads configurations from the platform.
class configuration_reader
{
public:
    using callback = std::function<void(absl::StatusOr<configuration>)>;

    /// `objects` outlives the reader and its calls.
    explicit configuration_reader(object_client &objects) : m_objects(objects) { }

    /// The current document, of revision 0 if there is none. Fails with Unavailable if the
    /// platform cannot be read and with InvalidArgument if its document is not valid.
    void readCurrent(callback onRead);
    /// An earlier revision from the history. Fails with NotFound if it is not recorded.
    void readRevision(std::uint64_t revision, callback onRead);

private:
    void read(const object_call &call, callback onRead);

    object_client &m_objects;
};

} // namespace waxwing
