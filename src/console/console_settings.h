#pragma once

#include "ctl/host_client.h"
#include "ctl/object_client.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <string>

namespace waxwing {

/// Settings of `waxwing-console`.
struct console_settings
{
    /// Address that the forms are served at.
    endpoint listen;
    /// The platform.
    object_client_settings platform;
    /// The entry hosts.
    host_client_settings hosts;
    /// File with the operators; see `operator_list::parse`.
    std::string operatorsFile;
    /// Secret of the form tokens, the same for all instances; at least 32 characters.
    std::string formSecret;
    /// How long a form can be sent after it was shown.
    std::chrono::seconds formLifetime{4 * 3600};
    /// Retries of a change.
    submission_settings submissions;

    /// Reads settings from YAML text. Fails with InvalidArgument, naming every problem. `file` is
    /// only used in error messages.
    static absl::StatusOr<console_settings> parse(const std::string &text, const std::string &file);

    bool operator==(const console_settings &) const = default;
};

} // namespace waxwing
