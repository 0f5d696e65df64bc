#include "entry/line_file.h"

#include <cerrno>
#include <cstring>

namespace waxwing {

absl::StatusOr<line_file> line_file::open(const std::string &path)
{
    std::FILE *file = std::fopen(path.c_str(), "ae");
    if (file == nullptr)
        return absl::UnavailableError(path + ": " + std::strerror(errno));
    return line_file(file);
}

void line_file::write(std::string_view line)
{
    m_complete = std::fwrite(line.data(), 1, line.size(), m_file.get()) == line.size()
        && std::fputc('\n', m_file.get()) != EOF && m_complete;
}

bool line_file::flush()
{
    m_complete = std::fflush(m_file.get()) == 0 && m_complete;
    return m_complete;
}

} // namespace waxwing
