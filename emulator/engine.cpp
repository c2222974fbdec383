#include "engine.h"

#include <algorithm>

namespace chestnutsill::emulator {

namespace {

constexpr double PairsInMillion = 1e6;
constexpr double TokensInThousand = 1000;

} // namespace

bool Engine::isMoreUrgent(const Run &a, const Run &b) noexcept
{
    return a.request.rank != b.request.rank ? a.request.rank < b.request.rank : a.order < b.order;
}

void Engine::add(EngineRequest request)
{
    Run run{std::move(request), 0, 0, 0, m_nextOrder++, 0};
    m_queue.insert(std::upper_bound(m_queue.begin(), m_queue.end(), run, isMoreUrgent), std::move(run));
}

void Engine::cancel(std::uint64_t request)
{
    m_cancelled.insert(request);
}

double Engine::unsharedTokens(const Run &run)
{
    return run.request.prompt.tokens - sharedTokens(run.request.prompt) + run.generated;
}

double Engine::tokensInUse() const
{
    double tokens = 0;
    std::unordered_set<std::uint64_t> counted;
    for (const Run &run : m_running) {
        tokens += unsharedTokens(run);
        for (std::size_t i = 0; i + 1 < run.request.prompt.parts.size(); ++i) {
            const PromptPart &part = run.request.prompt.parts[i];
            if (counted.insert(part.id).second)
                tokens += part.tokens;
        }
    }
    return tokens;
}

double Engine::cachedTokens(const Prompt &prompt) const
{
    double tokens = 0;
    for (const PromptPart &part : prompt.parts) {
        if (!m_cached.contains(part.id))
            break;
        tokens += part.tokens;
    }
    return tokens;
}

void Engine::cache(const Prompt &prompt)
{
    // Marks the last part as used first, so that it is also evicted first: a cached part is useless without
    // all parts before it.
    for (auto part = prompt.parts.rbegin(); part != prompt.parts.rend(); ++part) {
        if (const auto known = m_cached.find(part->id); known != m_cached.end()) {
            m_cache.splice(m_cache.end(), m_cache, known->second);
            continue;
        }
        m_cached[part->id] = m_cache.insert(m_cache.end(), *part);
    }
}

void Engine::preemptAndEvict()
{
    while (tokensInUse() > m_shape.memoryTokens && m_running.size() > 1) {
        const auto newest = std::max_element(m_running.begin(), m_running.end(), isMoreUrgent);
        Run run = std::move(*newest);
        m_running.erase(newest);
        run.tokensLeft = run.request.prompt.tokens + run.generated;
        run.sharedTokensLeft = 0;
        m_queue.insert(std::upper_bound(m_queue.begin(), m_queue.end(), run, isMoreUrgent), std::move(run));
        ++m_preempted;
    }
    std::unordered_set<std::uint64_t> used;
    for (const Run &run : m_running) {
        for (const PromptPart &part : run.request.prompt.parts)
            used.insert(part.id);
    }
    // Parts of running requests already count as in use, whether they are cached yet or not.
    double cached = 0;
    for (const PromptPart &part : m_cache)
        cached += used.contains(part.id) ? 0 : part.tokens;
    const double room = m_shape.memoryTokens - tokensInUse();
    for (auto part = m_cache.begin(); part != m_cache.end() && cached > room;) {
        if (used.contains(part->id)) {
            ++part;
            continue;
        }
        cached -= part->tokens;
        m_cached.erase(part->id);
        part = m_cache.erase(part);
    }
}

void Engine::admit(double budget)
{
    double held = tokensInUse();
    while (!m_queue.empty() && budget > 0 && static_cast<int>(m_running.size()) < m_shape.slots) {
        Run &next = m_queue.front();
        const double tokens = next.request.prompt.tokens + next.generated;
        if (held + tokens > m_shape.memoryTokens && !m_running.empty())
            break;
        if (next.generated == 0) {
            const double cached = std::max(cachedTokens(next.request.prompt), next.request.fetchedTokens);
            const double shared = sharedTokens(next.request.prompt);
            next.tokensLeft = std::max(next.request.prompt.tokens - cached, 1.0);
            next.sharedTokensLeft = std::max(shared - cached, 0.0);
        }
        held += tokens;
        next.chunk = std::min(next.tokensLeft, budget);
        budget -= next.chunk;
        m_running.push_back(std::move(next));
        m_queue.erase(m_queue.begin());
    }
}

void Engine::planPrefill()
{
    // Running requests are prefilled first; the rest of the chunk goes to new requests.
    double left = m_shape.chunkTokens;
    for (Run &run : m_running) {
        run.chunk = std::min(run.tokensLeft, left);
        left -= run.chunk;
    }
    admit(left);
}

double Engine::beginStep()
{
    const auto isCancelled = [&](const Run &run) { return m_cancelled.contains(run.request.id); };
    std::erase_if(m_queue, isCancelled);
    std::erase_if(m_running, isCancelled);
    m_cancelled.clear();
    planPrefill();
    preemptAndEvict();
    double ms = m_shape.stepMs + m_shape.stepPerRunningMs * static_cast<double>(m_running.size())
                + m_shape.stepPerThousandTokensMs * tokensInUse() / TokensInThousand;
    for (const Run &run : m_running) {
        const double before = run.request.prompt.tokens + run.generated - run.tokensLeft;
        ms += run.chunk / m_shape.readTokensPerMs
              + m_shape.readMsPerMillionPairs * run.chunk * (before + run.chunk / 2) / PairsInMillion;
    }
    return ms / m_speed;
}

std::vector<EngineEvent> Engine::endStep()
{
    std::vector<EngineEvent> events;
    for (Run &run : m_running) {
        if (run.tokensLeft > 0) {
            run.tokensLeft -= run.chunk;
            m_tokensPrefilled += run.chunk;
            if (run.tokensLeft > 0)
                continue;
            m_sharedPrefilled += run.sharedTokensLeft;
            run.sharedTokensLeft = 0;
            cache(run.request.prompt);
        }
        ++run.generated;
        const bool done = run.generated >= run.request.outputTokens;
        if (done || run.generated % m_shape.tokensPerEvent == 0)
            events.push_back({run.request.id, done});
    }
    std::erase_if(m_running, [](const Run &run) { return run.generated >= run.request.outputTokens; });
    return events;
}

} // namespace chestnutsill::emulator
