#include "configuration/configuration.h"

#include <algorithm>

namespace waxwing {
namespace {

template<typename Element, typename Id>
const Element *findById(const std::vector<Element> &sorted, const Id &id)
{
    const auto found = std::lower_bound(
        sorted.begin(), sorted.end(), id,
        [](const Element &element, const Id &wanted) { return element.id < wanted; });
    return found != sorted.end() && found->id == id ? &*found : nullptr;
}

} // namespace

const service *configuration::findService(const service_id &id) const
{
    return findById(services, id);
}

const backend_server *configuration::findServer(const server_id &id) const
{
    return findById(servers, id);
}

} // namespace waxwing
