#pragma once

#include "core/strong_id.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <variant>

namespace waxwing {

/// Name of a variant alternative in JSON; specialised for each type.
template<typename Value>
constexpr const char *jsonName = nullptr;

} // namespace waxwing

namespace nlohmann {

// nlohmann json requires these function names.
// NOLINTBEGIN(readability-identifier-naming)

/// Writes a strong id as its value.
template<typename Tag, typename Value>
struct adl_serializer<waxwing::strong_id<Tag, Value>>
{
    static void to_json(json &target, const waxwing::strong_id<Tag, Value> &id)
    {
        target = id.value;
    }
    static void from_json(const json &source, waxwing::strong_id<Tag, Value> &id)
    {
        source.get_to(id.value);
    }
};

/// Writes a duration as a count of its unit.
template<typename Count, typename Period>
struct adl_serializer<std::chrono::duration<Count, Period>>
{
    static void to_json(json &target, const std::chrono::duration<Count, Period> &time)
    {
        target = time.count();
    }
    static void from_json(const json &source, std::chrono::duration<Count, Period> &time)
    {
        time = std::chrono::duration<Count, Period>(source.get<Count>());
    }
};

/// Writes a time point as the duration since the epoch of its clock.
template<typename Clock, typename Duration>
struct adl_serializer<std::chrono::time_point<Clock, Duration>>
{
    static void to_json(json &target, const std::chrono::time_point<Clock, Duration> &time)
    {
        target = time.time_since_epoch();
    }
    static void from_json(const json &source, std::chrono::time_point<Clock, Duration> &time)
    {
        time = std::chrono::time_point<Clock, Duration>(source.get<Duration>());
    }
};

/// Writes an optional as its value or null.
template<typename Value>
struct adl_serializer<std::optional<Value>>
{
    static void to_json(json &target, const std::optional<Value> &value)
    {
        if (value)
            target = *value;
        else
            target = nullptr;
    }
    static void from_json(const json &source, std::optional<Value> &value)
    {
        if (source.is_null())
            value.reset();
        else
            value = source.get<Value>();
    }
};

/// Writes a variant as the name and the value of its alternative. Reading throws
/// std::invalid_argument for an unknown name.
template<typename... Values>
struct adl_serializer<std::variant<Values...>>
{
    static void to_json(json &target, const std::variant<Values...> &value)
    {
        std::visit(
            [&target](const auto &alternative) {
                using type = std::decay_t<decltype(alternative)>;
                static_assert(waxwing::jsonName<type> != nullptr);
                target = json{{"kind", waxwing::jsonName<type>}, {"value", alternative}};
            },
            value);
    }
    static void from_json(const json &source, std::variant<Values...> &value)
    {
        const auto kind = source.at("kind").get<std::string>();
        if (!(readIfNamed<Values>(kind, source, value) || ...))
            throw std::invalid_argument("unknown kind '" + kind + "'");
    }

private:
    template<typename Value>
    static bool readIfNamed(const std::string &kind, const json &source,
                            std::variant<Values...> &value)
    {
        if (kind != waxwing::jsonName<Value>)
            return false;
        value = source.at("value").get<Value>();
        return true;
    }
};

// NOLINTEND(readability-identifier-naming)

} // namespace nlohmann
