#include "entry/received_configuration.h"

#include "configuration/parse.h"

namespace waxwing {

configuration_copy parseReceived(const std::string &text, std::string_view source, logger &log)
{
    auto parsed = parseConfiguration(text);
    if (parsed.ok())
        return *std::move(parsed);
    log.write(
        {log_level::Error,
         "received an invalid configuration",
         {{"source", std::string(source)}, {"problems", std::string(parsed.status().message())}}});
    return {};
}

} // namespace waxwing
