#include "standins/text_file.h"

#include <fstream>
#include <iterator>

namespace waxwing::standins {

absl::StatusOr<std::string> readTextFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return absl::NotFoundError("cannot read " + path);
    return std::string(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
}

} // namespace waxwing::standins
