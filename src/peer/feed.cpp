#include "chestnutsill/peer/feed.h"

#include "impl/feed.capnp.h"
#include "impl/wirebytes.h"

#include <algorithm>

namespace chestnutsill {

namespace {

constexpr std::int32_t NeverConfirmed = -1;
/// Durations are capped at this number of milliseconds, which fits the 32-bit fields of the message.
constexpr milliseconds::rep MaxMs = 1'000'000'000;
/// Limit of the 8-byte words read from one message (64 MiB), which bounds the cost of decoding malformed
/// bytes.
constexpr std::uint64_t MaxWords = 8 << 20;
constexpr int MaxNesting = 64;

PublishedItem toItem(wire::PublishedItem::Reader in)
{
    return {impl::toText(in.getKey()), impl::toText(in.getValue()), in.getRevision(), in.getDeleted()};
}

void write(wire::PublishedItem::Builder out, const PublishedItem &item)
{
    // Keys of other writers may hold a zero byte.
    out.setKey({item.key.c_str(), item.key.size()});
    out.setValue(impl::toData(item.value));
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
    root.setAt(answer.revision.number);
    root.setEra(answer.revision.era);
    const auto age = answer.confirmedAge ? std::min(answer.confirmedAge->count(), MaxMs) : NeverConfirmed;
    root.setConfirmedAgeMs(static_cast<std::int32_t>(age));
    root.setLapseMs(static_cast<std::uint32_t>(
        std::clamp<milliseconds::rep>(answer.removalsDelayedFor.count(), 0, MaxMs)));
    root.setSnapshot(answer.isSnapshot);
    return impl::toBytes(message);
}

std::optional<FeedAnswer> decodeFeed(std::string_view bytes)
{
    FeedAnswer answer;
    const auto read = [&](wire::FeedAnswer::Reader root) {
        for (const auto item : root.getItems())
            answer.items.push_back(toItem(item));
        answer.revision = {root.getEra(), root.getAt()};
        if (root.getConfirmedAgeMs() >= 0)
            answer.confirmedAge = milliseconds(root.getConfirmedAgeMs());
        answer.removalsDelayedFor = milliseconds(root.getLapseMs());
        answer.isSnapshot = root.getSnapshot();
    };
    if (!impl::readBytes<wire::FeedAnswer>(bytes, {MaxWords, MaxNesting}, read))
        return std::nullopt;
    return answer;
}

} // namespace chestnutsill
