#include "query/search_types.h"

namespace waxwing {

bool ranksBefore(const hit &left, const hit &right)
{
    if (left.score != right.score)
        return left.score > right.score;
    return left.id < right.id;
}

} // namespace waxwing
