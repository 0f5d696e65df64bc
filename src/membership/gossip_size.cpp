#include "membership/gossip_size.h"

namespace waxwing {
namespace {

// Maximum encoded sizes in protobuf: one byte for the tag, then the value.
constexpr std::size_t longInteger = 1 + 10;
constexpr std::size_t smallInteger = 1 + 1;
constexpr std::size_t portInteger = 1 + 3;
constexpr std::size_t shortInteger = 1 + 5;
/// Tag and length of a string or message below 16 KiB.
constexpr std::size_t lengthPrefix = 1 + 2;

std::size_t stringBytes(const std::string &text)
{
    return lengthPrefix + text.size();
}

std::size_t endpointBytes(const endpoint &value)
{
    return lengthPrefix + stringBytes(value.address) + portInteger;
}

} // namespace

std::size_t gossipBytes(const member &value)
{
    return lengthPrefix + stringBytes(value.host.value) + stringBytes(value.zone.value)
        + endpointBytes(value.gossip) + endpointBytes(value.peer) + longInteger + smallInteger
        + longInteger + shortInteger;
}

std::size_t gossipBytes(const fact &value)
{
    return lengthPrefix + smallInteger + stringBytes(value.subject)
        + stringBytes(value.origin.value) + 3 * longInteger;
}

std::size_t gossipBytes(const gossip_message &message)
{
    std::size_t bytes = smallInteger + gossipBytes(message.sender) + 2 * longInteger
        + stringBytes(message.target.value);
    for (const member &each : message.updates)
        bytes += gossipBytes(each);
    for (const fact &each : message.facts)
        bytes += gossipBytes(each);
    return bytes;
}

} // namespace waxwing
