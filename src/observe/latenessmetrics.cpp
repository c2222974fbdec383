#include "chestnutsill/observe/latenessmetrics.h"

#include <ostream>

namespace chestnutsill {

namespace {

/// Writes the value of a label, with the escape sequences of the exposition format.
void writeLabelValue(std::ostream &out, std::string_view value)
{
    for (const char letter : value) {
        if (letter == '\n')
            out << "\\n";
        else if (letter == '\\' || letter == '"')
            out << '\\' << letter;
        else
            out << letter;
    }
}

template<typename Counts>
void writeCounts(std::ostream &out, std::string_view label, const Counts &counts)
{
    for (const LatenessColumn &column : LatenessColumns) {
        const std::string metric =
            "chestnutsill_" + std::string(label) + '_' + std::string(column.metric) + "_total";
        out << "# TYPE " << metric << " counter\n";
        for (const auto &[name, item] : counts) {
            out << metric << '{' << label << "=\"";
            writeLabelValue(out, name);
            out << "\"} " << item.*column.count << '\n';
        }
    }
}

/// A name cut to the length of labels, not inside a UTF-8 sequence.
std::string_view labelOf(std::string_view name)
{
    constexpr unsigned ContinuationMask = 0xC0;
    constexpr unsigned ContinuationBits = 0x80;
    if (name.size() <= LatenessMetrics::MaxNameBytes)
        return name;
    std::size_t end = LatenessMetrics::MaxNameBytes;
    while (end > 0 && (static_cast<unsigned char>(name[end]) & ContinuationMask) == ContinuationBits)
        --end;
    return name.substr(0, end);
}

} // namespace

void LatenessMetrics::record(std::string_view route, std::string_view account, const Lateness &lateness)
{
    addRequest(countsOf(m_routes, labelOf(route)), lateness);
    addRequest(countsOf(m_accounts, labelOf(account)), lateness);
}

LatenessCounts &LatenessMetrics::countsOf(Counts &counts, std::string_view name)
{
    if (const auto found = counts.find(name); found != counts.end())
        return found->second;
    return counts[std::string(counts.size() < MaxNames ? name : OtherName)];
}

void LatenessMetrics::write(std::ostream &out) const
{
    writeCounts(out, "route", m_routes);
    writeCounts(out, "account", m_accounts);
}

} // namespace chestnutsill
