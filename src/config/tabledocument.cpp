#include "chestnutsill/config/tabledocument.h"

namespace chestnutsill {

RoutingTable toRoutingTable(const TableDocument &document)
{
    RoutingTable table;
    table.version = document.version;
    for (const TableDocument::RouteEntry &entry : document.routes)
        table.routes.push_back(entry.route);
    for (const TableDocument::ServiceEntry &entry : document.services)
        table.services[entry.name] = entry.service;
    for (const TableDocument::AccountEntry &entry : document.accounts) {
        for (const std::string &key : entry.keys)
            table.accountByKey[key] = table.accounts.size();
        table.accounts.push_back(entry.account);
    }
    table.limits = document.limits;
    return table;
}

} // namespace chestnutsill
