#pragma once

#include "chestnutsill/policy/routing.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chestnutsill {

/// A routing table with all entries in the order of its document, including those that have no effect in a
/// `RoutingTable`, such as a second service of the same name.
struct TableDocument
{
    struct RouteEntry
    {
        Route route;
        /// Whether the document lists several services with weights instead of naming a single one.
        bool isSplit = false;
    };

    struct ServiceEntry
    {
        std::string name;
        Service service;
    };

    struct AccountEntry
    {
        ClientAccount account;
        std::vector<std::string> keys;
        /// Number of keys that are no strings and are ignored.
        std::size_t ignoredKeys = 0;
    };

    std::uint64_t version = 0;
    std::vector<RouteEntry> routes;
    std::vector<ServiceEntry> services;
    std::vector<AccountEntry> accounts;
    CallerLimits limits;
};

/// The table by which requests are routed. Of several services with one name, and of several accounts with
/// one key, the last one counts.
[[nodiscard]] RoutingTable toRoutingTable(const TableDocument &document);

} // namespace chestnutsill
