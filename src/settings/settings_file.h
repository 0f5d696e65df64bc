#pragma once

#include "settings/settings_problems.h"
#include "settings/settings_section.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>

namespace waxwing {

/// Reads the file. Fails with NotFound if it cannot be read and with InvalidArgument if it is
/// larger than 1 MiB.
absl::StatusOr<std::string> readSettingsFile(const std::string &path);

/// Parses YAML text and lets `read` take its values from the root mapping. Fails with
/// InvalidArgument, naming file, line, field and expectation of every problem. `file` is only used
/// in error messages.
absl::Status parseSettings(const std::string &text, const std::string &file,
                           const std::function<void(settings_section &)> &read);

/// Reads and parses a file. `Settings::parse` takes its text and its name.
template<typename Settings>
absl::StatusOr<Settings> loadSettings(const std::string &path)
{
    const absl::StatusOr<std::string> text = readSettingsFile(path);
    if (!text.ok())
        return text.status();
    return Settings::parse(*text, path);
}

} // namespace waxwing
