#include "chestnutsill/policy/fairqueue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chestnutsill {

void FairQueue::push(SlotRequest request, Instant now)
{
    Account &account = m_accounts[request.account];
    if (account.waiting.empty())
        account.virtualTime = std::max(account.virtualTime, m_virtualTime);
    account.waiting.push_back({std::move(request), now});
    ++m_size;
}

FairQueue::Accounts::iterator FairQueue::nextAccount(const Eligible &eligible)
{
    auto best = m_accounts.end();
    std::tuple<bool, double> bestKey;
    for (auto it = m_accounts.begin(); it != m_accounts.end(); ++it) {
        const auto &waiting = it->second.waiting;
        const auto first = std::find_if(waiting.begin(), waiting.end(),
                                        [&](const Waiting &entry) { return eligible(entry.request); });
        if (first == waiting.end())
            continue;
        const std::tuple<bool, double> key(first->request.overForecast, it->second.virtualTime);
        if (best == m_accounts.end() || key < bestKey) {
            best = it;
            bestKey = key;
        }
    }
    return best;
}

std::optional<FairQueue::Waiting> FairQueue::take(const Eligible &eligible)
{
    const auto best = nextAccount(eligible);
    if (best == m_accounts.end())
        return std::nullopt;
    Account &account = best->second;
    const auto entry = std::find_if(account.waiting.begin(), account.waiting.end(),
                                    [&](const Waiting &waiting) { return eligible(waiting.request); });
    Waiting taken = std::move(*entry);
    account.waiting.erase(entry);
    --m_size;
    m_virtualTime = std::max(m_virtualTime, account.virtualTime);
    account.virtualTime += 1;
    if (m_size == 0)
        m_accounts.clear();
    return taken;
}

template<typename Predicate>
std::vector<SlotRequest> FairQueue::removeIf(Predicate predicate)
{
    std::vector<SlotRequest> removed;
    for (auto &[name, account] : m_accounts) {
        auto &waiting = account.waiting;
        for (auto it = waiting.begin(); it != waiting.end();) {
            if (!predicate(it->request)) {
                ++it;
                continue;
            }
            removed.push_back(std::move(it->request));
            it = waiting.erase(it);
        }
    }
    m_size -= removed.size();
    return removed;
}

bool FairQueue::remove(const Ticket &ticket)
{
    return !removeIf([&](const SlotRequest &request) { return request.ticket == ticket; }).empty();
}

std::vector<SlotRequest> FairQueue::removeExpired(Instant now)
{
    return removeIf([&](const SlotRequest &request) { return request.startBy <= now; });
}

void FairQueue::removeOtherIncarnations(const std::string &holder, std::uint64_t incarnation)
{
    removeIf([&](const SlotRequest &request) {
        return request.ticket.holder == holder && request.ticket.incarnation != incarnation;
    });
}

std::vector<SlotRequest> FairQueue::removeMatching(const Eligible &predicate)
{
    return removeIf(predicate);
}

std::size_t FairQueue::countAhead(const std::string &account) const
{
    const auto own = m_accounts.find(account);
    const std::size_t ownCount = own == m_accounts.end() ? 0 : own->second.waiting.size();
    std::size_t count = ownCount;
    for (const auto &[name, other] : m_accounts) {
        if (name != account)
            count += std::min(other.waiting.size(), ownCount + 1);
    }
    return count;
}

} // namespace chestnutsill
