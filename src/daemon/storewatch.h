#pragma once

#include "chestnutsill/router/router.h"
#include "platform/store.h"

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace chestnutsill {

/// Follows what is published in the store: a full read first, then one waiting call after another.
class StoreWatch
{
public:
    /// Called with each published routing table as text, before it is in force.
    using TableHandler = std::function<void(std::string_view text)>;

    /// `wait` is how long one call waits for changes; while it waits, it also proves that there are none.
    StoreWatch(std::string address, milliseconds wait, RouterState &state, TableHandler onTable);

    /// Follows the store until the process ends.
    void run(const Fiber &fiber);

    /// Whether the store answered the last call.
    [[nodiscard]] bool isReachable() const noexcept { return m_reachable; }

private:
    [[nodiscard]] bool readAll(const Fiber &fiber);
    [[nodiscard]] bool follow(const Fiber &fiber);
    void apply(const platform::StoreItem &item, Instant time);
    void withdrawMissing(const std::set<std::string> &seen, std::uint64_t at, Instant time);
    void confirm(Instant at);
    void noteFailure();
    void noteSuccess();
    [[nodiscard]] milliseconds retryPause();

    platform::StoreClient m_client;
    milliseconds m_wait;
    RouterState &m_state;
    TableHandler m_onTable;
    std::mt19937_64 m_random;
    std::uint64_t m_at = 0;
    bool m_complete = false;
    bool m_reachable = false;
};

} // namespace chestnutsill
