#pragma once

#include <absl/status/statusor.h>

#include <cstdio>
#include <memory>
#include <string>
#include <string_view>

namespace waxwing {

/// Append-only text file for recorded events or spans, one per line.
class line_file
{
public:
    /// Opens or creates the file. Fails with Unavailable if the file cannot be opened.
    static absl::StatusOr<line_file> open(const std::string &path);

    /// Appends one line. Lines are buffered until `flush` or until the file is closed.
    void write(std::string_view line);
    /// Writes buffered lines to the file. Returns false if a line was lost since the file was
    /// opened.
    bool flush();

private:
    struct closer
    {
        void operator()(std::FILE *file) const { std::fclose(file); }
    };
    explicit line_file(std::FILE *file) : m_file(file) { }

    std::unique_ptr<std::FILE, closer> m_file;
    bool m_complete = true;
};

} // namespace waxwing
