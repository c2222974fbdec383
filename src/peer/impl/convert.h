#pragma once

#include "chestnutsill/policy/answer.h"
#include "chestnutsill/policy/peertypes.h"
#include "chestnutsill/policy/pool.h"
#include "peer.capnp.h"

namespace chestnutsill::impl {

// Each pair copies one type to and from its wire form. Durations travel as spans relative to the message,
// since the clocks of two processes can't be compared. `read` functions yield values within their ranges for
// any input.

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
