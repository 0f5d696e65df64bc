#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing {

/// Operators and the hashes of their passwords.
class operator_list
{
public:
    /// Parses lines `name:iterations:salt:hash`; empty lines and lines that begin with `#` are
    /// ignored. Fails with InvalidArgument, naming the line.
    static absl::StatusOr<operator_list> parse(std::string_view text);
    /// A line for `parse`, with a new salt.
    static std::string makeLine(std::string_view name, std::string_view password);

    /// The operator whose HTTP Basic credential the `Authorization` header holds.
    std::optional<std::string> authenticate(const std::string &header);

private:
    struct record
    {
        std::uint32_t iterations = 0;
        std::string salt;
        std::string hash;
    };

    operator_list();

    std::map<std::string, record> m_records;
    /// Hashes of headers that were found right. A password hash takes tens of milliseconds, in
    /// which the event loop would serve nobody else.
    std::map<std::string, std::string> m_accepted;
    /// Key of the hashes in `m_accepted`.
    std::string m_key;
};

} // namespace waxwing
