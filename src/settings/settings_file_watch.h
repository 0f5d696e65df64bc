#pragma once

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>

namespace waxwing {

/// Notices that a settings file was changed or replaced.
class settings_file_watch
{
public:
    /// Begins with the file as it is now.
    explicit settings_file_watch(std::string path);

    /// Whether the file has changed since the last call. A file that cannot be found has not: it
    /// may be about to be replaced.
    bool hasChanged();

private:
    /// What differs between two versions of a file.
    struct file_version
    {
        ino_t inode = 0;
        off_t bytes = 0;
        std::int64_t modifiedSeconds = 0;
        std::int64_t modifiedNanoseconds = 0;

        bool operator==(const file_version &) const = default;
    };

    std::optional<file_version> currentVersion() const;

    std::string m_path;
    std::optional<file_version> m_seen;
};

} // namespace waxwing
