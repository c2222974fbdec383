#pragma once

#include "cluster.h"

#include <string>
#include <vector>

namespace chestnutsill::bench {

/// Offered load of one class.
struct ClassLoad
{
    std::string requestClass;
    std::string target;
    bool stream = true;
    /// Requests a second in calm times.
    double rate = 1;
};

/// A deployment at today's size.
struct Deployment
{
    std::string name;
    int instances = 8;
    std::vector<ClassLoad> classes;
    std::vector<std::string> zones;
    std::string zoneToMove;
    /// Engine and service counts.
    int engines = 9;
    int services = 4;
    std::string serviceModel;
    std::vector<RequestClass> requestClasses;
};

/// Requests at once of one warm engine, and in cold start.
inline constexpr int EngineSlots = 8;
inline constexpr int EngineColdSlots = 2;

/// Hamakaze: 4 zones, 9 engines, 4 services, 8 instances.
[[nodiscard]] Deployment hamakaze();

/// Kimlong: 3 zones, 18 engines, 3 services, 6 instances.
[[nodiscard]] Deployment kimlong();

/// Puts a deployment into a cluster: zones, accounts, classes, and running upstreams. `cold` starts engines
/// cold.
void fill(support::Cluster &cluster, const Deployment &deployment, bool cold);

} // namespace chestnutsill::bench
