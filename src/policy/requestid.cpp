#include "chestnutsill/policy/requestid.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace chestnutsill {

namespace {

constexpr std::size_t PartCount = 4;
constexpr std::size_t MinNonceLength = 8;
constexpr std::size_t MaxNameLength = 64;
/// Largest accepted epoch, about three hundred years, so that its expiry can't overflow.
constexpr std::uint64_t MaxEpoch = 10'000'000'000ULL;

bool isNameCharacter(char c) noexcept
{
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return letter || (c >= '0' && c <= '9') || c == '-' || c == '_';
}

std::optional<std::uint64_t> parseNumber(std::string_view text, int base)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value, base);
    if (error != std::errc() || stop != end || text.empty())
        return std::nullopt;
    return value;
}

std::optional<std::array<std::string_view, PartCount>> split(std::string_view text)
{
    std::array<std::string_view, PartCount> parts;
    for (std::size_t i = 0; i + 1 < PartCount; ++i) {
        const auto dot = text.find('.');
        if (dot == std::string_view::npos)
            return std::nullopt;
        parts[i] = text.substr(0, dot);
        text.remove_prefix(dot + 1);
    }
    parts.back() = text;
    return parts;
}

std::string hex16(std::uint64_t value)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

} // namespace

bool isValidName(std::string_view name) noexcept
{
    if (name.empty() || name.size() > MaxNameLength)
        return false;
    return std::all_of(name.begin(), name.end(), isNameCharacter);
}

std::optional<RequestId> parseRequestId(std::string_view text, std::string &reason)
{
    const auto parts = split(text);
    if (!parts) {
        reason = "request id needs four parts separated by dots";
        return std::nullopt;
    }
    const auto &[owner, incarnationText, epochText, nonce] = *parts;
    if (!isValidName(owner)) {
        reason = "request id has an invalid owner";
        return std::nullopt;
    }
    const auto incarnation = parseNumber(incarnationText, 16);
    if (!incarnation || incarnationText.size() != 16) {
        reason = "request id has an invalid incarnation";
        return std::nullopt;
    }
    const auto epoch = parseNumber(epochText, 10);
    if (!epoch || *epoch > MaxEpoch) {
        reason = "request id has an invalid epoch";
        return std::nullopt;
    }
    if (!isValidName(nonce) || nonce.size() < MinNonceLength) {
        reason = "request id needs a nonce of 8 to 64 letters, digits, hyphens or underscores";
        return std::nullopt;
    }
    return RequestId{std::string(owner), *incarnation, *epoch, std::string(nonce)};
}

std::string requestIdPrefix(std::string_view owner, std::uint64_t incarnation, Instant now)
{
    const auto epoch = std::chrono::duration_cast<seconds>(now).count();
    return std::string(owner) + '.' + hex16(incarnation) + '.' + std::to_string(epoch) + '.';
}

std::string toString(const RequestId &id)
{
    return requestIdPrefix(id.owner, id.incarnation, seconds(id.epoch)) + id.nonce;
}

Instant expiryOf(const RequestId &id) noexcept
{
    return seconds(id.epoch) + RequestIdLifetime;
}

} // namespace chestnutsill
