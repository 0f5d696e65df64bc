#pragma once

#include "configuration/configuration.h"
#include "load/load_report.h"
#include "query/search_types.h"
#include "standins/document_generator.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace waxwing {

/// Search that was sent.
struct load_query
{
    /// Service that was searched.
    service_id service;
    /// Query text.
    std::string text;
    /// Hits asked for.
    std::uint32_t limit = 10;

    bool operator==(const load_query &) const = default;
};

/// Checks answers to searches against the documents that the backend stand-in generates: every
/// hit belongs to the stated snapshot, none stands twice, and the hits are exactly the best ones
/// of the shards that the answer says were searched.
class answer_checker
{
public:
    explicit answer_checker(const configuration &document);

    /// Checks the body of one answer that took `latency` and adds what it finds to `report`.
    void check(const load_query &query, std::string_view body, std::chrono::microseconds latency,
               load_report &report) const;

private:
    /// Service of the document with its generated documents.
    struct known_service
    {
        service definition;
        standins::document_generator generator;
    };

    std::string findProblem(const load_query &query, const search_answer &answer) const;
    std::vector<hit> expectedHits(const load_query &query, const known_service &known,
                                  const search_answer &answer) const;

    std::map<service_id, known_service> m_services;
};

} // namespace waxwing
