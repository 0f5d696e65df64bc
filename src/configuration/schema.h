#pragma once

namespace waxwing {

/// JSON schema (draft 7) of the configuration document. Whole numbers end at 2^53, the largest
/// that every JSON implementation keeps exactly. `not` instead of `false` for further properties
/// makes valijson report each unknown field rather than the first.
inline constexpr const char *configurationSchema = R"json({
"$schema": "http://json-schema.org/draft-07/schema#",
"type": "object",
"additionalProperties": {"not": {}},
"required": ["revision", "change_id", "changed_by", "reason", "shutdown_at", "zones",
             "backend_servers", "services"],
"properties": {
  "revision": {"type": "integer", "minimum": 1, "maximum": 9007199254740992},
  "change_id": {"type": "string", "minLength": 1, "maxLength": 128},
  "changed_by": {"type": "string", "minLength": 1, "maxLength": 128},
  "reason": {"type": "string", "minLength": 1, "maxLength": 1000},
  "shutdown_at": {"type": "string"},
  "allow_uncovered": {"type": "boolean"},
  "zones": {"type": "array", "minItems": 1, "items": {"type": "string"}},
  "backend_servers": {"type": "array", "items": {
    "type": "object",
    "additionalProperties": {"not": {}},
    "required": ["id", "zone", "address", "slots", "connection_limit"],
    "properties": {
      "id": {"type": "string"},
      "zone": {"type": "string"},
      "address": {"type": "string"},
      "slots": {"type": "integer", "minimum": 1, "maximum": 65535},
      "connection_limit": {"type": "integer", "minimum": 1, "maximum": 65535},
      "leaves_at": {"type": "string"}
    }
  }},
  "services": {"type": "array", "items": {
    "type": "object",
    "additionalProperties": {"not": {}},
    "required": ["id", "partitionings", "policy"],
    "properties": {
      "id": {"type": "string"},
      "partitionings": {"type": "array", "minItems": 1, "items": {
        "type": "object",
        "additionalProperties": {"not": {}},
        "required": ["generation", "shards"],
        "properties": {
          "generation": {"type": "integer", "minimum": 1, "maximum": 4294967295},
          "shards": {"type": "array", "minItems": 1, "items": {
            "type": "object",
            "additionalProperties": {"not": {}},
            "required": ["id", "documents", "replicas"],
            "properties": {
              "id": {"type": "string"},
              "documents": {"type": "integer", "minimum": 0, "maximum": 9007199254740992},
              "replicas": {"type": "array", "items": {"type": "string"}}
            }
          }}
        }
      }},
      "policy": {
        "type": "object",
        "additionalProperties": {"not": {}},
        "required": ["deadline_ms", "wanted_coverage", "prefer", "hedge_budget", "retry_budget"],
        "properties": {
          "deadline_ms": {"type": "integer", "minimum": 1, "maximum": 600000},
          "wanted_coverage": {"type": "number", "minimum": 0, "maximum": 1},
          "prefer": {"enum": ["early", "whole"]},
          "hedge_budget": {"type": "number", "minimum": 0, "maximum": 1},
          "retry_budget": {"type": "number", "minimum": 0, "maximum": 1}
        }
      }
    }
  }}
}
})json";

} // namespace waxwing
