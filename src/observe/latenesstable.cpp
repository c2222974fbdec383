#include "chestnutsill/observe/latenesstable.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <iomanip>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

namespace chestnutsill {

namespace {

namespace json = boost::json;

using Rows = std::map<std::string, LatenessCounts, std::less<>>;
using Row = std::pair<std::string, LatenessCounts>;

/// Removes `prefix` from the start of `text`. Returns whether it was there.
bool take(std::string_view &text, std::string_view prefix)
{
    if (!text.starts_with(prefix))
        return false;
    text.remove_prefix(prefix.size());
    return true;
}

/// Removes the value of a label with its closing quote and returns it without escape sequences.
std::optional<std::string> takeLabelValue(std::string_view &text)
{
    std::string value;
    while (!text.empty()) {
        char letter = text.front();
        text.remove_prefix(1);
        if (letter == '"')
            return value;
        if (letter == '\\') {
            if (text.empty())
                return std::nullopt;
            letter = text.front() == 'n' ? '\n' : text.front();
            text.remove_prefix(1);
        }
        value += letter;
    }
    return std::nullopt;
}

/// The column that a metric belongs to, without the prefix of its name. Removes its name from `line`.
const LatenessColumn *takeColumn(std::string_view &line)
{
    for (const LatenessColumn &column : LatenessColumns) {
        if (take(line, std::string(column.metric) + "_total"))
            return &column;
    }
    return nullptr;
}

/// Adds the counter of a line after the name of its metric, for example `{route="chat"} 5`.
bool addCounter(Rows &rows, std::string_view line, std::string_view label, const LatenessColumn &column)
{
    if (!take(line, "{" + std::string(label) + "=\""))
        return false;
    const auto name = takeLabelValue(line);
    if (!name || !take(line, "} "))
        return false;
    std::uint64_t value = 0;
    const auto [stop, error] = std::from_chars(line.data(), line.data() + line.size(), value);
    if (error != std::errc() || stop != line.data() + line.size())
        return false;
    rows[*name].*column.count += value;
    return true;
}

double shareOf(const LatenessCounts &counts, std::uint64_t part)
{
    return counts.requests == 0 ? 0 : static_cast<double>(part) / static_cast<double>(counts.requests);
}

/// Rows with the highest shares of late requests first, then by name.
std::vector<Row> sorted(const Rows &rows)
{
    std::vector<Row> list(rows.begin(), rows.end());
    const auto lateShare = [](const Row &row) {
        return shareOf(row.second, row.second.lateFirst) + shareOf(row.second, row.second.lateGap);
    };
    std::stable_sort(list.begin(), list.end(),
                     [&](const Row &a, const Row &b) { return lateShare(a) > lateShare(b); });
    return list;
}

/// A name as a table shows it: control characters would break its lines.
std::string shownName(const std::string &name)
{
    if (name.empty())
        return "(none)";
    std::string shown = name;
    std::replace_if(
        shown.begin(), shown.end(), [](unsigned char letter) { return std::iscntrl(letter) != 0; }, '?');
    return shown;
}

constexpr int CountWidth = 12;
constexpr int ShareWidth = 8;

void writeRows(std::ostream &out, std::string_view label, const Rows &rows)
{
    constexpr std::size_t MinNameWidth = 16;
    constexpr double Percent = 100;
    const std::vector<Row> list = sorted(rows);
    std::size_t nameWidth = MinNameWidth;
    for (const Row &row : list)
        nameWidth = std::max(nameWidth, row.first.size());
    out << std::left << std::setw(static_cast<int>(nameWidth)) << label << std::right;
    for (const LatenessColumn &column : LatenessColumns) {
        out << std::setw(CountWidth) << column.heading;
        if (column.count != &LatenessCounts::requests)
            out << std::setw(ShareWidth) << "share";
    }
    out << '\n';
    for (const auto &[name, counts] : list) {
        out << std::left << std::setw(static_cast<int>(nameWidth)) << shownName(name) << std::right
            << std::fixed << std::setprecision(2);
        for (const LatenessColumn &column : LatenessColumns) {
            const std::uint64_t count = counts.*column.count;
            out << std::setw(CountWidth) << count;
            if (column.count != &LatenessCounts::requests)
                out << std::setw(ShareWidth - 1) << Percent * shareOf(counts, count) << '%';
        }
        out << '\n';
    }
}

json::array rowsToJson(std::string_view label, const Rows &rows)
{
    json::array list;
    for (const auto &[name, counts] : sorted(rows)) {
        json::object row{{label, name}};
        for (const LatenessColumn &column : LatenessColumns) {
            row[column.json] = counts.*column.count;
            if (column.count != &LatenessCounts::requests)
                row[std::string(column.json) + "Share"] = shareOf(counts, counts.*column.count);
        }
        list.push_back(std::move(row));
    }
    return list;
}

} // namespace

bool addMetricsPage(LatenessTable &table, std::string_view page, std::string &reason)
{
    LatenessTable sum = table;
    bool hasCounters = false;
    while (!page.empty()) {
        const std::size_t end = std::min(page.find('\n'), page.size());
        const std::string_view line = page.substr(0, end);
        page.remove_prefix(std::min(end + 1, page.size()));
        std::string_view rest = line;
        const bool isComment = take(rest, "# TYPE ");
        const bool isRoute = take(rest, "chestnutsill_route_");
        if (!isRoute && !take(rest, "chestnutsill_account_"))
            continue;
        const LatenessColumn *column = takeColumn(rest);
        if (column == nullptr)
            continue;
        hasCounters = true;
        if (isComment)
            continue;
        if (!addCounter(isRoute ? sum.byRoute : sum.byAccount, rest, isRoute ? "route" : "account",
                        *column)) {
            reason = "unreadable line: " + std::string(line);
            return false;
        }
    }
    if (!hasCounters) {
        reason = "the metrics page has no counters of late requests";
        return false;
    }
    table = std::move(sum);
    return true;
}

std::string toText(const LatenessTable &table)
{
    std::ostringstream out;
    writeRows(out, "route", table.byRoute);
    out << '\n';
    writeRows(out, "account", table.byAccount);
    return out.str();
}

std::string toJson(const LatenessTable &table)
{
    return json::serialize(json::object{{"routes", rowsToJson("route", table.byRoute)},
                                        {"accounts", rowsToJson("account", table.byAccount)}});
}

} // namespace chestnutsill
