#pragma once

#include "configuration/configuration.h"
#include "configuration/parse.h"

#include <nlohmann/json.hpp>

#include <string_view>
#include <vector>

namespace waxwing {

/// Parses JSON text. Reports malformed text, a key that appears twice in an object, and text
/// larger than the platform stores; the result is then discarded.
nlohmann::json parseJson(std::string_view text, std::vector<configuration_problem> &problems);

/// Reads a document whose shape is right, in the order of its arrays. Reports times and addresses
/// that cannot be read.
configuration readDocument(const nlohmann::json &json,
                           std::vector<configuration_problem> &problems);

/// Puts zones, servers, services, partitionings and shards in order of their ids.
void sortDocument(configuration &document);

/// The document as JSON.
nlohmann::json writeDocument(const configuration &document);

/// One service as JSON.
nlohmann::json writeService(const service &value);

} // namespace waxwing
