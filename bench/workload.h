#pragma once

#include "cluster.h"

#include <string>
#include <vector>

namespace chestnutsill::bench {

/// Load offered for one request class.
struct ClassLoad
{
    std::string requestClass;
    std::string target;
    bool stream = true;
    /// Normal rate in requests per second.
    double rate = 1;
};

/// A deployment of the users at its present size.
struct Deployment
{
    std::string name;
    int instances = 8;
    std::vector<ClassLoad> classes;
    std::vector<std::string> zones;
    /// Availability zone that the scene `zone` takes out of service.
    std::string zoneToTakeOut;
    int engines = 9;
    int services = 4;
    std::string serviceModel;
    std::vector<RequestClass> requestClasses;
};

/// Maximum concurrent requests of an engine when warm and in cold start.
inline constexpr int EngineSlots = 8;
inline constexpr int EngineColdSlots = 2;

/// Hamakaze: 4 zones, 9 engines, 4 services, 8 instances.
[[nodiscard]] Deployment hamakaze();

/// Kimlong: 3 zones, 18 engines, 3 services, 6 instances.
[[nodiscard]] Deployment kimlong();

/// Adds the zones, accounts and classes of a deployment to a cluster and starts its upstreams. With `cold`
/// the engines begin in cold start.
void populate(support::Cluster &cluster, const Deployment &deployment, bool cold);

} // namespace chestnutsill::bench
