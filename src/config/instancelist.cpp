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
        reader.addError("state", "must be live or leaving");
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
    reader.rejectUnknownFields();
    return member;
}

} // namespace

std::optional<InstanceList> parseInstanceList(std::string_view text, ValidationErrors &errors)
{
    const std::size_t before = errors.size();
    const json::value value = parseJson(text, errors);
    if (errors.size() > before)
        return std::nullopt;
    InstanceList list;
    JsonObjectReader document(value, "", errors);
    document.list("entries", 0, [&](const json::value &entry, const std::string &path) {
        JsonObjectReader reader(entry, path, errors);
        list.members.push_back(readMember(reader));
    });
    document.list("upstreams", 0, [&](const json::value &entry, const std::string &path) {
        JsonObjectReader reader(entry, path, errors);
        const std::string name = reader.name("name");
        if (readLeaving(reader))
            list.leavingUpstreams.push_back(name);
        reader.rejectUnknownFields();
    });
    if (errors.size() > before)
        return std::nullopt;
    std::sort(list.members.begin(), list.members.end(),
              [](const Member &a, const Member &b) { return a.name < b.name; });
    return list;
}

} // namespace chestnutsill
