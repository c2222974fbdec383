#include "chestnutsill/config/checkreport.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cctype>
#include <iomanip>
#include <sstream>

namespace chestnutsill {

namespace {

namespace json = boost::json;

/// A text as a terminal shows it: control characters would break its line or act on the terminal.
std::string shown(std::string_view text)
{
    std::string safe(text);
    std::replace_if(
        safe.begin(), safe.end(), [](unsigned char letter) { return std::iscntrl(letter) != 0; }, '?');
    return safe;
}

std::size_t countOf(const CheckReport &report, Severity severity)
{
    return static_cast<std::size_t>(
        std::count_if(report.findings.begin(), report.findings.end(),
                      [&](const Finding &finding) { return finding.severity == severity; }));
}

} // namespace

std::string_view toString(Severity severity) noexcept
{
    switch (severity) {
    case Severity::Error:
        return "error";
    case Severity::Warning:
        return "warning";
    case Severity::Change:
        return "change";
    }
    return "error";
}

bool hasFaults(const CheckReport &report) noexcept
{
    return std::any_of(report.findings.begin(), report.findings.end(),
                       [](const Finding &finding) { return finding.severity != Severity::Change; });
}

std::string toText(const CheckReport &report)
{
    constexpr int SeverityWidth = 9;
    std::ostringstream out;
    for (const Finding &finding : report.findings)
        out << std::left << std::setw(SeverityWidth) << toString(finding.severity) << shown(finding.path)
            << ": " << shown(finding.message) << '\n';
    if (report.version)
        out << "version " << *report.version
            << (report.deployment.empty() ? std::string() : " of " + shown(report.deployment)) << ' ';
    if (hasFaults(report))
        out << (report.version ? "has " : "") << "errors: " << countOf(report, Severity::Error)
            << ", warnings: " << countOf(report, Severity::Warning) << '\n';
    else
        out << "is valid\n";
    return out.str();
}

std::string toJson(const CheckReport &report)
{
    json::array findings;
    json::array differences;
    for (const Finding &finding : report.findings) {
        json::object item{
            {"severity", toString(finding.severity)}, {"path", finding.path}, {"message", finding.message}};
        (finding.severity == Severity::Change ? differences : findings).push_back(std::move(item));
    }
    return json::serialize(
        json::object{{"version", report.version ? json::value(*report.version) : json::value(nullptr)},
                     {"valid", !hasFaults(report)},
                     {"findings", std::move(findings)},
                     {"differences", std::move(differences)}});
}

} // namespace chestnutsill
