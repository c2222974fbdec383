#include "chestnutsill/config/jsonparts.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace chestnutsill {

namespace {

constexpr std::string_view Whitespace = " \t\r\n";

std::string_view trimmed(std::string_view text) noexcept
{
    text.remove_prefix(std::min(text.find_first_not_of(Whitespace), text.size()));
    return text.substr(0, text.find_last_not_of(Whitespace) + 1);
}

/// Position after the string that begins at `at`; the size of the text if it doesn't end.
std::size_t endOfString(std::string_view text, std::size_t at) noexcept
{
    // Values of a megabyte are common; searching for the quote is faster than looking at each character.
    for (std::size_t quote = text.find('"', at + 1); quote != std::string_view::npos;
         quote = text.find('"', quote + 1)) {
        const std::size_t backslashes = quote - 1 - text.find_last_not_of('\\', quote - 1);
        if (backslashes % 2 == 0)
            return quote + 1;
    }
    return text.size();
}

/// Position of the comma or bracket that ends the part which begins at `at`; the size of the text if there is
/// none.
std::size_t endOfPart(std::string_view text, std::size_t at) noexcept
{
    std::size_t depth = 0;
    while (at < text.size()) {
        switch (text[at]) {
        case '"':
            at = endOfString(text, at);
            continue;
        case '[':
        case '{':
            ++depth;
            break;
        case ']':
        case '}':
            if (depth == 0)
                return at;
            --depth;
            break;
        case ',':
            if (depth == 0)
                return at;
            break;
        default:
            break;
        }
        ++at;
    }
    return text.size();
}

/// Calls `each` with every part between two brackets. Returns whether the text ends with the second one.
template<typename Each>
bool splitParts(std::string_view text, char open, char close, const Each &each)
{
    text = trimmed(text);
    if (!text.starts_with(open))
        return false;
    for (std::size_t at = 1;;) {
        const std::size_t end = endOfPart(text, at);
        if (end == text.size())
            return false;
        const std::string_view part = trimmed(text.substr(at, end - at));
        const bool isLast = text[end] != ',';
        const bool isEmptyList = isLast && at == 1 && part.empty();
        if (!isEmptyList)
            each(part);
        if (isLast)
            return text[end] == close && end + 1 == text.size();
        at = end + 1;
    }
}

constexpr std::uint32_t FirstHighSurrogate = 0xD800;
constexpr std::uint32_t FirstLowSurrogate = 0xDC00;
constexpr std::uint32_t LastLowSurrogate = 0xDFFF;

bool isHighSurrogate(std::uint32_t unit) noexcept
{
    return unit >= FirstHighSurrogate && unit < FirstLowSurrogate;
}

bool isLowSurrogate(std::uint32_t unit) noexcept
{
    return unit >= FirstLowSurrogate && unit <= LastLowSurrogate;
}

/// Code unit of the escape `\uXXXX` at the start of the text.
std::optional<std::uint32_t> codeUnit(std::string_view text) noexcept
{
    constexpr std::size_t Digits = 4;
    if (!text.starts_with("\\u") || text.size() < 2 + Digits)
        return std::nullopt;
    std::uint32_t unit = 0;
    const char *end = text.data() + 2 + Digits;
    const auto [stop, error] = std::from_chars(text.data() + 2, end, unit, 16);
    return error == std::errc() && stop == end ? std::optional(unit) : std::nullopt;
}

/// An escape of a code point, which is a surrogate if that has no other half.
struct UnicodeEscape
{
    std::uint32_t codePoint = 0;
    std::size_t size = 0;
};

/// The escape of a code point at the start of the text, in one code unit or two.
std::optional<UnicodeEscape> unicodeEscape(std::string_view text) noexcept
{
    constexpr std::size_t UnitSize = 6;
    const auto unit = codeUnit(text);
    if (!unit)
        return std::nullopt;
    const auto next = isHighSurrogate(*unit) ? codeUnit(text.substr(UnitSize)) : std::nullopt;
    if (next && isLowSurrogate(*next))
        return UnicodeEscape{0x10000 + ((*unit - FirstHighSurrogate) << 10) + (*next - FirstLowSurrogate),
                             2 * UnitSize};
    return UnicodeEscape{*unit, UnitSize};
}

/// Appends a code point, which may be a surrogate, in the form of UTF-8.
void appendUtf8(std::string &out, std::uint32_t codePoint)
{
    const auto continuation = [&](int shift) {
        return static_cast<char>(0x80 | ((codePoint >> shift) & 0x3F));
    };
    if (codePoint < 0x80) {
        out += static_cast<char>(codePoint);
    } else if (codePoint < 0x800) {
        out += static_cast<char>(0xC0 | (codePoint >> 6));
        out += continuation(0);
    } else if (codePoint < 0x10000) {
        out += static_cast<char>(0xE0 | (codePoint >> 12));
        out += continuation(6);
        out += continuation(0);
    } else {
        out += static_cast<char>(0xF0 | (codePoint >> 18));
        out += continuation(12);
        out += continuation(6);
        out += continuation(0);
    }
}

char unescaped(char escape) noexcept
{
    switch (escape) {
    case 'b':
        return '\b';
    case 'f':
        return '\f';
    case 'n':
        return '\n';
    case 'r':
        return '\r';
    case 't':
        return '\t';
    default:
        return escape;
    }
}

/// Appends the character of the escape sequence at the start of the text. Returns the size of the sequence.
std::size_t appendEscape(std::string &out, std::string_view text, LoneSurrogate loneSurrogate)
{
    constexpr std::uint32_t FirstByte = FirstLowSurrogate + 0x80;
    constexpr std::uint32_t LastByte = FirstLowSurrogate + 0xFF;
    const auto escape = unicodeEscape(text);
    if (!escape) {
        if (text.size() > 1)
            out += unescaped(text[1]);
        return 2;
    }
    const std::uint32_t codePoint = escape->codePoint;
    if (loneSurrogate == LoneSurrogate::Byte && codePoint >= FirstByte && codePoint <= LastByte)
        out += static_cast<char>(codePoint - FirstLowSurrogate);
    else
        appendUtf8(out, codePoint);
    return escape->size;
}

/// Copies text to `out`, except its escape sequences: for each one `replace` appends what stands for it, and
/// returns its size.
template<typename Replace>
void replaceEscapes(std::string_view text, std::string &out, const Replace &replace)
{
    while (!text.empty()) {
        const std::size_t plain = std::min(text.find('\\'), text.size());
        out += text.substr(0, plain);
        text.remove_prefix(plain);
        if (!text.empty())
            text.remove_prefix(std::min(replace(text), text.size()));
    }
}

} // namespace

bool splitJsonArray(std::string_view text, const std::function<void(std::string_view)> &each)
{
    return splitParts(text, '[', ']', each);
}

bool splitJsonObject(std::string_view text,
                     const std::function<void(std::string_view, std::string_view)> &each)
{
    return splitParts(text, '{', '}', [&](std::string_view member) {
        const std::size_t nameEnd = member.starts_with('"') ? endOfString(member, 0) : 0;
        const std::string_view rest = trimmed(member.substr(nameEnd));
        if (nameEnd > 0 && rest.starts_with(':'))
            each(decodeJsonString(member.substr(0, nameEnd), LoneSurrogate::CodePoint),
                 trimmed(rest.substr(1)));
        else
            each({}, member);
    });
}

std::string decodeJsonString(std::string_view text, LoneSurrogate loneSurrogate)
{
    std::string decoded;
    if (text.size() < 2 || !text.starts_with('"') || !text.ends_with('"'))
        return decoded;
    replaceEscapes(text.substr(1, text.size() - 2), decoded,
                   [&](std::string_view escape) { return appendEscape(decoded, escape, loneSurrogate); });
    return decoded;
}

std::string replaceLoneSurrogates(std::string_view text)
{
    std::string replaced;
    replaced.reserve(text.size());
    replaceEscapes(text, replaced, [&](std::string_view sequence) {
        const auto escape = unicodeEscape(sequence);
        const bool isLone =
            escape && (isHighSurrogate(escape->codePoint) || isLowSurrogate(escape->codePoint));
        const std::size_t size = escape ? escape->size : 2;
        if (isLone)
            appendUtf8(replaced, escape->codePoint);
        else
            replaced += sequence.substr(0, size);
        return size;
    });
    return replaced;
}

bool hasLoneSurrogate(std::string_view text) noexcept
{
    // No other code point has these bytes.
    constexpr char FirstByte = '\xED';
    constexpr unsigned char MinSecondByte = 0xA0;
    for (std::size_t i = 0; i + 1 < text.size(); ++i) {
        if (text[i] == FirstByte && static_cast<unsigned char>(text[i + 1]) >= MinSecondByte)
            return true;
    }
    return false;
}

} // namespace chestnutsill
