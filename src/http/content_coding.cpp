#include "http/content_coding.h"

#include <zlib.h>

#include <absl/status/status.h>

#include <algorithm>
#include <cassert>

namespace waxwing::http {
namespace {

/// Lowest level; higher ones take several times as long for a few percent.
constexpr int compressionLevel = Z_BEST_SPEED;
/// Size of the buffer by which the output grows, in bytes.
constexpr std::size_t outputStep = 65536;

// zlib takes the input as non-const, but does not modify it.
Bytef *inputOf(std::string_view body)
{
    return reinterpret_cast<Bytef *>(const_cast<char *>(body.data()));
}

Bytef *outputOf(std::string &buffer, std::size_t offset)
{
    return reinterpret_cast<Bytef *>(buffer.data() + offset);
}

} // namespace

std::string deflated(std::string_view body)
{
    uLongf size = compressBound(static_cast<uLong>(body.size()));
    std::string result(size, '\0');
    [[maybe_unused]] const int status =
        compress2(outputOf(result, 0), &size, inputOf(body), static_cast<uLong>(body.size()),
                  compressionLevel);
    assert(status == Z_OK);
    result.resize(size);
    return result;
}

absl::StatusOr<std::string> inflated(std::string_view body, std::size_t maxBytes)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK)
        return absl::ResourceExhaustedError("no memory to decompress a body");
    stream.next_in = inputOf(body);
    stream.avail_in = static_cast<uInt>(body.size());
    std::string result;
    int status = Z_OK;
    while (status == Z_OK && result.size() <= maxBytes) {
        const std::size_t before = result.size();
        result.resize(before + std::min(outputStep, maxBytes + 1 - before));
        stream.next_out = outputOf(result, before);
        stream.avail_out = static_cast<uInt>(result.size() - before);
        status = inflate(&stream, Z_NO_FLUSH);
        result.resize(result.size() - stream.avail_out);
    }
    const bool hasMoreInput = stream.avail_in > 0;
    inflateEnd(&stream);
    if (result.size() > maxBytes)
        return absl::ResourceExhaustedError("decompressed body is too large");
    if (status != Z_STREAM_END || hasMoreInput)
        return absl::InvalidArgumentError("body is not valid deflate data");
    return result;
}

} // namespace waxwing::http
