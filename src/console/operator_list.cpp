#include "console/operator_list.h"

#include "console/crypto.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <vector>

namespace waxwing {
namespace {

/// Work of one password guess; 65 ms of processor time, the mean of ten runs.
constexpr std::uint32_t newIterations = 100'000;
/// Fewer are too easy to guess, more would stop the event loop for seconds.
constexpr std::uint32_t minIterations = 10'000;
constexpr std::uint32_t maxIterations = 1'000'000;

/// Name and password of a Basic credential.
std::optional<std::pair<std::string, std::string>> parseBasic(const std::string &header)
{
    constexpr std::string_view scheme = "Basic ";
    std::string decoded;
    if (header.rfind(scheme, 0) != 0
        || !absl::Base64Unescape(header.substr(scheme.size()), &decoded))
        return std::nullopt;
    const auto colon = decoded.find(':');
    if (colon == std::string::npos)
        return std::nullopt;
    return std::pair(decoded.substr(0, colon), decoded.substr(colon + 1));
}

} // namespace

operator_list::operator_list() : m_key(randomHex(32)) { }

absl::StatusOr<operator_list> operator_list::parse(std::string_view text)
{
    operator_list result;
    const std::vector<std::string> lines = absl::StrSplit(std::string(text), '\n');
    for (std::size_t i = 0; i < lines.size(); ++i) {
        if (lines[i].empty() || lines[i].front() == '#')
            continue;
        const std::vector<std::string> parts = absl::StrSplit(lines[i], ':');
        record entry;
        if (parts.size() != 4 || parts[0].empty() || parts[2].empty() || parts[3].size() != 64
            || !absl::SimpleAtoi(parts[1], &entry.iterations) || entry.iterations < minIterations
            || entry.iterations > maxIterations) {
            return absl::InvalidArgumentError("line " + std::to_string(i + 1)
                                              + ": expected name:iterations:salt:hash");
        }
        entry.salt = parts[2];
        entry.hash = parts[3];
        if (!result.m_records.emplace(parts[0], std::move(entry)).second) {
            return absl::InvalidArgumentError("line " + std::to_string(i + 1) + ": operator '"
                                              + parts[0] + "' appears twice");
        }
    }
    if (result.m_records.empty())
        return absl::InvalidArgumentError("there is no operator");
    return result;
}

std::string operator_list::makeLine(std::string_view name, std::string_view password)
{
    const auto salt = randomHex(16);
    return std::string(name) + ":" + std::to_string(newIterations) + ":" + salt + ":"
        + derivePasswordHash(password, salt, newIterations);
}

std::optional<std::string> operator_list::authenticate(const std::string &header)
{
    const auto accepted = m_accepted.find(hmacSha256(m_key, header));
    if (accepted != m_accepted.end())
        return accepted->second;
    const auto credential = parseBasic(header);
    if (!credential)
        return std::nullopt;
    const auto found = m_records.find(credential->first);
    // An unknown name takes the same time as a wrong password.
    const record &entry = found == m_records.end() ? m_records.begin()->second : found->second;
    const auto hash = derivePasswordHash(credential->second, entry.salt, entry.iterations);
    if (found == m_records.end() || !equalInConstantTime(hash, entry.hash))
        return std::nullopt;
    // Headers of one credential differ only in their encoding; the bound is for those.
    if (m_accepted.size() >= 4 * m_records.size())
        m_accepted.clear();
    m_accepted.emplace(hmacSha256(m_key, header), credential->first);
    return credential->first;
}

} // namespace waxwing
