#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace waxwing::standins {

/// Object of the platform.
struct stored_object
{
    /// Version, from 1.
    std::uint64_t version = 0;
    /// Value.
    nlohmann::json value;

    bool operator==(const stored_object &) const = default;
};

/// Condition of a write: the version that the object must have, or 0 if it must not exist.
struct write_condition
{
    /// Expected version, 0 for "does not exist".
    std::uint64_t version = 0;
};

/// Objects of the platform by kind and name, each with a few earlier versions.
class object_store
{
public:
    /// Name of an object: kind, then name.
    using key = std::pair<std::string, std::string>;

    /// Newest copy of an object, or the one before it where `stale` is set and there is one.
    std::optional<stored_object> find(const key &id, bool stale = false) const;
    /// Writes if the condition holds; returns the new version.
    std::optional<std::uint64_t> write(const key &id, write_condition condition,
                                       nlohmann::json value);
    /// Puts an earlier copy back under its old version, as a restore from a backup does. Returns
    /// whether that copy is known.
    bool restore(const key &id, std::uint64_t version);
    /// Names and versions of a kind, in order of the names.
    std::map<std::string, std::uint64_t> list(const std::string &kind) const;

private:
    std::map<key, std::deque<stored_object>> m_objects;
};

} // namespace waxwing::standins
