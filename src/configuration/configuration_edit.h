#pragma once

#include "configuration/configuration.h"

#include <optional>
#include <variant>

namespace waxwing {

/// Sets or removes the departure of a backend server.
struct departure_edit
{
    /// Backend server.
    server_id server;
    /// When it leaves; empty to let it stay.
    std::optional<wall_time> leavesAt;

    bool operator==(const departure_edit &) const = default;
};

/// Adds a service.
struct create_service_edit
{
    /// The new service.
    service value;

    bool operator==(const create_service_edit &) const = default;
};

/// Replaces a service.
struct change_service_edit
{
    /// The service with its new content.
    service value;

    bool operator==(const change_service_edit &) const = default;
};

/// Removes a service.
struct remove_service_edit
{
    /// Service.
    service_id id;

    bool operator==(const remove_service_edit &) const = default;
};

/// Replaces the policy of a service.
struct policy_edit
{
    /// Service.
    service_id id;
    /// New policy.
    service_policy policy;

    bool operator==(const policy_edit &) const = default;
};

/// Moves the shutdown of the hosted service.
struct shutdown_edit
{
    /// New time.
    wall_time shutdownAt;

    bool operator==(const shutdown_edit &) const = default;
};

/// Replaces zones, backend servers, services and the shutdown time.
struct document_edit
{
    /// Where the new content comes from; its revision and author are not used.
    configuration document;

    bool operator==(const document_edit &) const = default;
};

/// What an operator changes in the configuration.
using configuration_edit =
    std::variant<departure_edit, create_service_edit, change_service_edit, remove_service_edit,
                 policy_edit, shutdown_edit, document_edit>;

} // namespace waxwing
