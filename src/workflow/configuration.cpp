#include "workflow/configuration.h"

#include <fmt/core.h>

#include <algorithm>
#include <set>

namespace yuccawheel::workflow
{

const QueueRoute *Configuration::findRoute(std::string_view host, std::string_view path) const
{
    const QueueRoute *best = nullptr;
    for (const QueueRoute &route : routes) {
        if (route.host == host && path.substr(0, route.pathPrefix.size()) == route.pathPrefix
            && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}

bool Configuration::mayHaveService(std::string_view name) const
{
    return version == 0 || std::any_of(services.begin(), services.end(), [name](const ServicePolicy &service) {
               return service.name == name;
           });
}

std::optional<std::string> findFault(const Configuration &configuration)
{
    std::set<std::string_view> services;
    for (const ServicePolicy &service : configuration.services) {
        services.insert(service.name);
    }
    std::set<std::pair<std::string_view, std::string_view>> places;
    for (const QueueRoute &route : configuration.routes) {
        if (!services.contains(route.policy.service)) {
            return fmt::format("route {} refers to an unknown service", route.policy.queue);
        }
        if (!places.insert({route.host, route.pathPrefix}).second) {
            return fmt::format("route {} has the host and prefix of another one", route.policy.queue);
        }
        if (route.timeout.count() <= 0) {
            return fmt::format("route {} has no timeout", route.policy.queue);
        }
    }
    return std::nullopt;
}

} // namespace yuccawheel::workflow
