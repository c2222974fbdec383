#include "chestnutsill/policy/answer.h"

namespace chestnutsill {

namespace {

void appendQuoted(std::string &out, std::string_view text)
{
    static constexpr char HexDigits[] = "0123456789abcdef";
    out += '"';
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (byte < 0x20) {
            out += "\\u00";
            out += HexDigits[byte >> 4];
            out += HexDigits[byte & 15];
        } else {
            out += c;
        }
    }
    out += '"';
}

} // namespace

Answer refusal(int status, Verdict verdict, std::string_view reason, std::string_view field,
               std::string_view message)
{
    Answer answer;
    answer.status = status;
    answer.verdict = verdict;
    answer.reason = reason;
    answer.body = R"({"error":{"type":)";
    appendQuoted(answer.body, reason);
    answer.body += R"(,"field":)";
    appendQuoted(answer.body, field);
    answer.body += R"(,"message":)";
    appendQuoted(answer.body, message);
    answer.body += R"(,"verdict":)";
    appendQuoted(answer.body, toString(verdict));
    answer.body += "}}\n";
    return answer;
}

} // namespace chestnutsill
