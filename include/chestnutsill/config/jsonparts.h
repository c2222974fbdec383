#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace chestnutsill {

/// Calls `each` with the text of every element of a JSON array, in their order. Elements are told apart by
/// quotes, brackets and commas alone, so that one that can't be parsed leaves the others as they are. Returns
/// whether the text is an array up to its end.
[[nodiscard]] bool splitJsonArray(std::string_view text,
                                  const std::function<void(std::string_view element)> &each);

/// Calls `each` with the name and the text of the value of every member of a JSON object, likewise. A member
/// without a name that can be told apart has an empty one.
[[nodiscard]] bool
splitJsonObject(std::string_view text,
                const std::function<void(std::string_view name, std::string_view value)> &each);

/// How half of a surrogate pair without the other half is decoded, which stands for no character.
enum class LoneSurrogate {
    /// The three bytes that UTF-8 would use for its code point.
    CodePoint,
    /// The byte b for U+DC00 + b, by which some encoders represent bytes that are not UTF-8. Others as with
    /// `CodePoint`.
    Byte,
};

/// Decodes the text of a JSON string with its quotes. Accepts what the grammar doesn't allow: any bytes, lone
/// surrogates, and unknown escapes, which stand for the character after the backslash. Returns an empty
/// string for text that is not in quotes.
[[nodiscard]] std::string decodeJsonString(std::string_view text, LoneSurrogate loneSurrogate);

/// JSON text in which the bytes of their code points stand for the escapes of lone surrogates, which the
/// grammar allows and parsers refuse. The result is not UTF-8 if there are any.
[[nodiscard]] std::string replaceLoneSurrogates(std::string_view text);

/// Whether a decoded string has the bytes of a lone surrogate's code point.
[[nodiscard]] bool hasLoneSurrogate(std::string_view text) noexcept;

} // namespace chestnutsill
