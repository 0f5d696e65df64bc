#include "settings/settings_file.h"

#include <fstream>
#include <iterator>

namespace waxwing {
namespace {

/// Largest accepted settings file, in bytes.
constexpr std::size_t maxFileBytes = std::size_t{1024} * 1024;

} // namespace

absl::StatusOr<std::string> readSettingsFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return absl::NotFoundError(path + ": cannot be opened");
    std::string text(maxFileBytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (stream.bad() || (stream.fail() && !stream.eof()))
        return absl::NotFoundError(path + ": cannot be read");
    text.resize(static_cast<std::size_t>(stream.gcount()));
    if (text.size() > maxFileBytes)
        return absl::InvalidArgumentError(path + ": larger than 1 MiB");
    return text;
}

absl::Status parseSettings(const std::string &text, const std::string &file,
                           const std::function<void(settings_section &)> &read)
{
    settings_problems problems(file);
    // yaml-cpp reports errors by exceptions only.
    try {
        settings_section root(YAML::Load(text), "", problems);
        read(root);
        root.finish();
    } catch (const YAML::Exception &error) {
        problems.add(std::max(error.mark.line, 0) + 1, "", "not valid YAML: " + error.msg);
    }
    return problems.status();
}

} // namespace waxwing
