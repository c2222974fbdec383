#pragma once

#include "chestnutsill/policy/pooltypes.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chestnutsill {

/// Waiting requests of one tier, scheduled by fair queueing with virtual time between client accounts: an
/// account with many waiting requests delays its own, not those of others.
class FairQueue
{
public:
    /// A waiting request and its arrival time.
    struct Waiting
    {
        SlotRequest request;
        Instant since{};
    };

    /// Decides whether a waiting request can be served now.
    using Eligible = std::function<bool(const SlotRequest &)>;

    /// Appends a request to the queue of its account.
    void push(SlotRequest request, Instant now);

    /// Selects the account with the least virtual time and removes and returns its first eligible request.
    /// Accounts whose first eligible request is of a class within its forecast precede all others. Returns
    /// nothing when no request is eligible.
    [[nodiscard]] std::optional<Waiting> take(const Eligible &eligible);

    /// Removes a request. Returns false when it is not in the queue.
    bool remove(const Ticket &ticket);

    /// Removes and returns all requests whose `startBy` has passed.
    [[nodiscard]] std::vector<SlotRequest> removeExpired(Instant now);

    /// Removes and returns all requests for which the predicate holds.
    [[nodiscard]] std::vector<SlotRequest> removeMatching(const Eligible &predicate);

    /// Removes all requests of a holder's other incarnations.
    void removeOtherIncarnations(const std::string &holder, std::uint64_t incarnation);

    /// Number of requests that would be served before a new one of this account.
    [[nodiscard]] std::size_t countAhead(const std::string &account) const;

    /// Number of waiting requests.
    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

private:
    struct Account
    {
        std::deque<Waiting> waiting;
        double virtualTime = 0;
    };

    using Accounts = std::map<std::string, Account>;

    template<typename Predicate>
    std::vector<SlotRequest> removeIf(Predicate predicate);
    [[nodiscard]] Accounts::iterator nextAccount(const Eligible &eligible);

    Accounts m_accounts;
    double m_virtualTime = 0;
    std::size_t m_size = 0;
};

} // namespace chestnutsill
