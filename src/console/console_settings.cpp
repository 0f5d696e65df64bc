#include "console/console_settings.h"

#include "settings/settings_file.h"

namespace waxwing {
namespace {

/// A shorter secret could be guessed.
constexpr std::size_t minSecretLength = 32;

} // namespace

absl::StatusOr<console_settings> console_settings::parse(const std::string &text,
                                                         const std::string &file)
{
    console_settings result;
    const auto status = parseSettings(text, file, [&result](settings_section &root) {
        root.require("listen", result.listen);
        root.require("platform", result.platform.platform);
        root.read("platform_timeout_ms", result.platform.timeout,
                  number_range<std::uint64_t>{1, 60'000});
        root.require("entry_hosts", result.hosts.hosts);
        root.read("entry_host_timeout_ms", result.hosts.timeout,
                  number_range<std::uint64_t>{1, 60'000});
        root.require("operators_file", result.operatorsFile);
        root.require("form_secret", result.formSecret);
        root.read("form_lifetime_s", result.formLifetime, number_range<std::uint64_t>{60, 86'400});
    });
    if (!status.ok())
        return status;
    if (result.formSecret.size() < minSecretLength) {
        return absl::InvalidArgumentError(file + ": form_secret: expected at least 32 characters");
    }
    return result;
}

} // namespace waxwing
