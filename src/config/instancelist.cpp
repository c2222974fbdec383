#include "chestnutsill/config/instancelist.h"

#include "chestnutsill/config/jsonobjectreader.h"

#include <boost/json.hpp>

#include <algorithm>

namespace chestnutsill {

namespace {

namespace json = boost::json;

bool readLeaving(JsonObjectReader &reader)
{
    const std::string state = reader.text("state");
    if (!state.empty() && state != "live" && state != "leaving")
        reader.fault("state", "must be live or leaving");
    return state == "leaving";
}

Member readMember(JsonObjectReader &reader)
{
    Member member;
    member.name = reader.name("name");
    member.zone = reader.name("zone");
    member.address = reader.text("address");
    member.peerAddress = reader.text("peer");
    member.leaving = readLeaving(reader);
    reader.refuseUnknown();
    return member;
}

} // namespace

std::optional<InstanceList> parseInstanceList(std::string_view text, ValidationErrors &faults)
{
    const std::size_t before = faults.size();
    const json::value value = parseJson(text, faults);
    if (faults.size() > before)
        return std::nullopt;
    InstanceList list;
    JsonObjectReader document(value, "", faults);
    document.list("entries", 0, [&](const json::value &entry, const std::string &path) {
        JsonObjectReader reader(entry, path, faults);
        list.members.push_back(readMember(reader));
    });
    document.list("upstreams", 0, [&](const json::value &entry, const std::string &path) {
        JsonObjectReader reader(entry, path, faults);
        const std::string name = reader.name("name");
        if (readLeaving(reader))
            list.leavingUpstreams.push_back(name);
        reader.refuseUnknown();
    });
    if (faults.size() > before)
        return std::nullopt;
    std::sort(list.members.begin(), list.members.end(),
              [](const Member &a, const Member &b) { return a.name < b.name; });
    return list;
}

} // namespace chestnutsill
