#include "settings/settings_file_watch.h"

#include <sys/stat.h>

#include <utility>

namespace waxwing {

settings_file_watch::settings_file_watch(std::string path)
    : m_path(std::move(path)), m_seen(currentVersion())
{ }

std::optional<settings_file_watch::file_version> settings_file_watch::currentVersion() const
{
    struct stat found = {};
    if (::stat(m_path.c_str(), &found) != 0)
        return std::nullopt;
    return file_version{found.st_ino, found.st_size, found.st_mtim.tv_sec, found.st_mtim.tv_nsec};
}

bool settings_file_watch::hasChanged()
{
    const std::optional<file_version> current = currentVersion();
    if (!current.has_value() || current == m_seen)
        return false;
    m_seen = current;
    return true;
}

} // namespace waxwing
