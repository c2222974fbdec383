#pragma once

#include "chestnutsill/policy/answer.h"
#include "chestnutsill/policy/peertypes.h"
#include "chestnutsill/policy/pool.h"
#include "peer.capnp.h"

namespace chestnutsill::impl {

// Each pair of functions converts one type to and from its Cap'n Proto message. A deadline is sent as the
// time left when the message is sent, because the clocks of two processes aren't comparable. The `read`
// functions accept any input and clamp tiers, enum values and the time left to start to their valid ranges.

void write(wire::Ask::Builder out, const SlotRequest &value, Instant now);
[[nodiscard]] SlotRequest read(wire::Ask::Reader in, Instant now);

void write(wire::Decision::Builder out, const Decision &value);
[[nodiscard]] Decision read(wire::Decision::Reader in);

void write(wire::Release::Builder out, const Release &value);
[[nodiscard]] Release read(wire::Release::Reader in);

void write(wire::Heartbeat::Builder out, const Heartbeat &value);
[[nodiscard]] Heartbeat read(wire::Heartbeat::Reader in);

void write(wire::HeldSlot::Builder out, const HeldSlot &value);
[[nodiscard]] HeldSlot read(wire::HeldSlot::Reader in);

void write(wire::ForwardedRequest::Builder out, const ForwardedRequest &value);
[[nodiscard]] ForwardedRequest read(wire::ForwardedRequest::Reader in);

void write(wire::Answer::Builder out, const Answer &value);
[[nodiscard]] Answer read(wire::Answer::Reader in);

void write(wire::CrashReport::Builder out, const CrashReport &value);
[[nodiscard]] CrashReport read(wire::CrashReport::Reader in);

} // namespace chestnutsill::impl
