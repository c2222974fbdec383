#pragma once

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <span>
#include <string>

namespace chestnutsill::impl {

/// Copies a text field of a message.
[[nodiscard]] inline std::string toText(capnp::Text::Reader text)
{
    return {text.begin(), text.size()};
}

/// Copies a data field of a message.
[[nodiscard]] inline std::string toText(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

/// Views a string as the value of a data field. The string must outlive the view.
[[nodiscard]] inline capnp::Data::Reader toData(const std::string &text)
{
    return {reinterpret_cast<const capnp::byte *>(text.data()), text.size()};
}

/// Serializes a message in packed form.
[[nodiscard]] inline std::string toBytes(capnp::MessageBuilder &message)
{
    kj::VectorOutputStream bytes;
    capnp::writePackedMessage(bytes, message);
    const auto array = bytes.getArray();
    return {reinterpret_cast<const char *>(array.begin()), array.size()};
}

/// Calls `read` with the root of a packed message. Returns false when the bytes are not a valid message.
template<typename Root, typename Read>
[[nodiscard]] bool readBytes(std::span<const char> bytes, capnp::ReaderOptions options, const Read &read)
{
    return kj::runCatchingExceptions([&] {
               kj::ArrayInputStream stream({reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()});
               capnp::PackedMessageReader message(stream, options);
               read(message.getRoot<Root>());
           })
           == nullptr;
}

} // namespace chestnutsill::impl
