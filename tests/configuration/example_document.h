#pragma once

#include "configuration/parse.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <sstream>
#include <string>

namespace waxwing {

/// Text of an example configuration of the repository.
inline std::string readExample(const std::string &name)
{
    std::ifstream file(std::string(WAXWING_TESTS_DIR) + "/../examples/" + name
                       + "/configuration.json");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// A small valid document: zones a and b, servers s1 (a), s2 (b) and s3 (a), service `desk` with
/// shards p1 on s1 and s2, and p2 on s2 and s3.
inline nlohmann::json smallDocument()
{
    return nlohmann::json::parse(R"({
        "revision": 7, "change_id": "c7", "changed_by": "anna", "reason": "start",
        "shutdown_at": "2027-06-30T22:00:00Z", "zones": ["a", "b"],
        "backend_servers": [
            {"id": "s1", "zone": "a", "address": "127.0.0.1:1001", "slots": 2, "connection_limit": 25},
            {"id": "s2", "zone": "b", "address": "127.0.0.1:1002", "slots": 2, "connection_limit": 25},
            {"id": "s3", "zone": "a", "address": "127.0.0.1:1003", "slots": 2, "connection_limit": 25}],
        "services": [{"id": "desk",
            "partitionings": [{"generation": 1, "shards": [
                {"id": "p1", "documents": 100, "replicas": ["s1", "s2"]},
                {"id": "p2", "documents": 200, "replicas": ["s2", "s3"]}]}],
            "policy": {"deadline_ms": 200, "wanted_coverage": 0.95, "prefer": "early",
                       "hedge_budget": 0.03, "retry_budget": 0.1}}]})");
}

/// The parsed form of a document that has to be valid.
inline configuration parseValid(const nlohmann::json &document)
{
    return *parseConfiguration(document.dump()).value().document;
}

} // namespace waxwing
