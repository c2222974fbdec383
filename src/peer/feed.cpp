#include "chestnutsill/peer/feed.h"

#include "impl/feed.capnp.h"

#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>

namespace chestnutsill {

namespace {

constexpr std::int32_t NeverConfirmed = -1;
constexpr milliseconds::rep MaxMs = 1'000'000'000;
/// Limit of the words read from one answer, which bounds what bad bytes can cost: 64 MB.
constexpr std::uint64_t MaxWords = 8 << 20;

std::string toText(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

PublishedItem read(wire::PublishedItem::Reader in)
{
    const auto value = in.getValue();
    return {toText(in.getKey()), std::string(reinterpret_cast<const char *>(value.begin()), value.size()),
            in.getRevision(), in.getDeleted()};
}

void write(wire::PublishedItem::Builder out, const PublishedItem &item)
{
    out.setKey(item.key.c_str());
    out.setValue({reinterpret_cast<const kj::byte *>(item.value.data()), item.value.size()});
    out.setRevision(item.revision);
    out.setDeleted(item.deleted);
}

} // namespace

std::string encodeFeed(const FeedAnswer &answer)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::FeedAnswer>();
    auto items = root.initItems(static_cast<unsigned>(answer.items.size()));
    for (unsigned i = 0; i < items.size(); ++i)
        write(items[i], answer.items[i]);
    root.setAt(answer.at);
    const auto age = answer.confirmedAge ? std::min(answer.confirmedAge->count(), MaxMs) : NeverConfirmed;
    root.setConfirmedAgeMs(static_cast<std::int32_t>(age));
    root.setLapseMs(
        static_cast<std::uint32_t>(std::clamp<milliseconds::rep>(answer.lapseLeft.count(), 0, MaxMs)));
    kj::VectorOutputStream bytes;
    capnp::writePackedMessage(bytes, message);
    const auto array = bytes.getArray();
    return {reinterpret_cast<const char *>(array.begin()), array.size()};
}

std::optional<FeedAnswer> decodeFeed(std::string_view bytes)
{
    FeedAnswer answer;
    const auto failure = kj::runCatchingExceptions([&] {
        kj::ArrayInputStream stream({reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()});
        capnp::PackedMessageReader message(stream, {MaxWords, 64});
        const auto root = message.getRoot<wire::FeedAnswer>();
        for (const auto item : root.getItems())
            answer.items.push_back(read(item));
        answer.at = root.getAt();
        if (root.getConfirmedAgeMs() >= 0)
            answer.confirmedAge = milliseconds(root.getConfirmedAgeMs());
        answer.lapseLeft = milliseconds(root.getLapseMs());
    });
    return failure == nullptr ? std::optional(std::move(answer)) : std::nullopt;
}

} // namespace chestnutsill
