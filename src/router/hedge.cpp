#include "chestnutsill/router/router.h"

#include "chestnutsill/clock.h"
#include "hedgerace.h"
#include "requestcontext.h"

#include <algorithm>
#include <utility>

namespace chestnutsill {

namespace {

/// Period after which a wait for the end of the second attempt is renewed; its end interrupts it.
constexpr milliseconds EndCheckPeriod{1000};

constexpr std::string_view HedgesMetric = "hedges_total";

/// Whether a response ends the race. A server error doesn't while the other attempt may still succeed.
bool isAcceptable(const UpstreamAnswer &answer)
{
    return answer.head.status < FirstServerError;
}

/// Starts a fiber on the executor of another one, so that the two never run at the same time. An exception
/// that escapes it propagates out of `io_context::run` and ends the process.
void startFiberOn(const boost::asio::any_io_executor &executor, std::function<void(Fiber)> body)
{
    boost::asio::spawn(executor, std::move(body), [](const std::exception_ptr &error) {
        if (error)
            std::rethrow_exception(error);
    });
}

AttemptPlace placeOf(const RequestContext &context, std::string_view upstream)
{
    return {context.serviceName, context.route->name, upstream};
}

std::string_view accountName(const RequestContext &context)
{
    return context.account != nullptr ? std::string_view(context.account->name) : std::string_view();
}

/// Marks an attempt whose response has begun and is dropped because the other one was answered first.
void drop(UpstreamAttempt &attempt)
{
    attempt.result = AttemptResult::Broken;
    attempt.verdict = Verdict::MayHaveRun;
    attempt.reason = "another attempt was answered first";
}

/// Marks an attempt that was answered with a server error which is not forwarded.
void fail(UpstreamAttempt &attempt)
{
    attempt.result = AttemptResult::Failed;
    attempt.verdict = Verdict::Answered;
    attempt.reason = "upstream-error";
}

/// Puts an upstream last among those tried, where the one that determined the outcome is.
void moveLast(std::vector<std::string> &upstreams, const std::string &upstream)
{
    const auto found = std::find(upstreams.begin(), upstreams.end(), upstream);
    if (found != upstreams.end())
        std::rotate(found, found + 1, upstreams.end());
}

} // namespace

bool Router::mayHedge(const RequestContext &context) const
{
    return m_settings.hedgeRatio > 0 && mayRunAgain(context)
           && context.possibleRuns + 1 < context.route->maxAttempts && !context.handedOver && !context.hedged
           && !continuesStream(context);
}

void Router::recordFirstByte(const RequestContext &context, const UpstreamAttempt &attempt, int status)
{
    const Instant time = now();
    if (!attempt.isHedge && status < FirstServerError)
        m_state.hedging.recordAnswer(placeOf(context, attempt.upstream), time - attempt.sentAt, time);
}

void Router::recordWait(const RequestContext &context, const UpstreamAttempt &attempt, Instant time)
{
    if (attempt.sent && !attempt.isHedge && !attempt.firstByteSeen
        && (attempt.cancelled || isGivenUp(context) || time >= context.deadline))
        m_state.hedging.recordUnanswered(placeOf(context, attempt.upstream), time - attempt.sentAt, time);
}

std::string_view Router::hedgeDenial(RequestContext &context, const UpstreamAttempt &first,
                                     bool isEarly) const
{
    const Instant time = now();
    if (isGivenUp(context) || first.retryGranted || !mayTryAnother(context) || !mayRunAgain(context))
        return "no-attempt";
    const auto &crashes = m_state.crashTracker.parts();
    const auto retryAfter = context.retryAfter;
    const bool isSuspected = isSuspectedOfCrashes(context);
    context.retryAfter = retryAfter;
    if (isSuspected || crashes.crashCount(context.fingerprint) > 0
        || std::any_of(context.sharedParts.begin(), context.sharedParts.end(),
                       [&](std::uint64_t part) { return crashes.crashCount(part) > 0; }))
        return "suspected-crash";
    ServiceUse use;
    for (const UpstreamRecord *record : m_state.catalog.usableUpstreams(context.serviceName)) {
        use.running += m_state.loadTable.total(record->entry.id, time).running;
        use.slots += record->entry.slots;
    }
    const auto denial = m_state.hedging.denial(context.serviceName, accountName(context), use, isEarly, time);
    return denial ? toString(*denial) : std::string_view();
}

std::string_view Router::chooseForHedge(RequestContext &context, UpstreamAttempt &attempt, const Fiber &fiber)
{
    const Instant time = now();
    if (attempt.cancelled || isGivenUp(context))
        return "no-attempt";
    auto candidates = collectCandidates(context, time, {});
    // An upstream in cold start is slow, and what it accepts is for requests that have no other one.
    std::erase_if(candidates, [&](const UpstreamCandidate &candidate) {
        return candidate.inColdStart || (candidate.slots > 0 && candidate.running >= candidate.slots)
               || m_state.hedging.isSlow(placeOf(context, candidate.upstream), time);
    });
    if (!selectCandidate(context, attempt, candidates, time))
        return "no-upstream";
    const auto retryAfter = context.retryAfter;
    const bool isLate = isTooLate(context, attempt, time);
    context.retryAfter = retryAfter;
    if (isLate)
        return "too-late";
    if (!m_state.retryBudget.tryAcquire(context.serviceName, m_state.membership.size(time), time))
        return "retry-budget";
    if (!m_state.hedging.tryAcquire(context.serviceName, accountName(context)))
        return toString(HedgeDenial::Limit);
    if (!acquirePermit(attempt.upstream, milliseconds(0), rankOf(context), context.sleep, fiber))
        return "permit";
    return attempt.cancelled || isGivenUp(context) ? "no-attempt" : "";
}

void Router::startHedgeTimer(const std::shared_ptr<HedgeRace> &race)
{
    const auto delay = m_state.hedging.delay(placeOf(race->context, race->first.upstream), now());
    if (!delay) {
        m_state.metrics.add("hedges_denied_total", "not-learnt");
        return;
    }
    race->delay = *delay;
    waitToHedge(race);
}

void Router::waitToHedge(const std::shared_ptr<HedgeRace> &race)
{
    race->timer.expires_after(race->delay);
    race->timer.async_wait([this, race](const boost::system::error_code &error) {
        if (error || race->closed)
            return;
        const bool isEarly = !std::exchange(race->overdue, true);
        if (isEarly)
            m_state.hedging.recordOverdue(race->context.serviceName);
        if (const auto denial = hedgeDenial(race->context, race->first, isEarly); !denial.empty()) {
            m_state.metrics.add("hedges_denied_total", denial);
            if (denial == toString(HedgeDenial::Limit))
                waitToHedge(race);
            return;
        }
        race->secondRuns = true;
        race->context.attemptsRace = true;
        startFiberOn(race->timer.get_executor(),
                     [this, race](const Fiber &fiber) { runHedge(*race, fiber); });
    });
}

void Router::runHedge(HedgeRace &race, const Fiber &fiber)
{
    RequestContext &context = race.context;
    UpstreamAttempt &second = race.second;
    if (const auto denial = chooseForHedge(context, second, fiber); !denial.empty()) {
        m_state.metrics.add("hedges_denied_total", denial);
    } else {
        recordAttempt(context, second);
        std::optional<UpstreamAnswer> answer;
        if (startAttempt(context, second, fiber)) {
            context.hedged = true;
            context.hedgeDelay = second.sentAt - race.first.sentAt;
            m_state.metrics.add(HedgesMetric, "started");
            answer = receive(context, second, fiber);
        }
        if (answer && second.cancelled)
            drop(second);
        if (answer && !second.cancelled)
            race.secondAnswer = std::move(answer);
        else
            finishAttempt(context, second, fiber);
        if (race.secondAnswer && race.firstWaits && isAcceptable(*race.secondAnswer))
            cancel(race.first);
        else if (race.firstWaits)
            moveLast(context.triedUpstreams, race.first.upstream);
    }
    race.secondRuns = false;
    context.attemptsRace = race.secondAnswer.has_value();
    race.secondEnd.interrupt();
}

void Router::cancel(UpstreamAttempt &attempt)
{
    attempt.cancelled = true;
    if (attempt.sent)
        m_state.metrics.add(HedgesMetric, attempt.isHedge ? "cancelled" : "first-cancelled");
    if (attempt.client)
        attempt.client->reset();
}

void Router::sendHedged(RequestContext &context, UpstreamAttempt &attempt, const Fiber &fiber)
{
    if (!startAttempt(context, attempt, fiber)) {
        finishAttempt(context, attempt, fiber);
        return;
    }
    const auto race = std::make_shared<HedgeRace>(context, attempt, fiber);
    startHedgeTimer(race);
    auto answer = receive(context, attempt, fiber);
    race->firstWaits = false;
    race->closed = true;
    race->timer.cancel();
    if (race->overdue)
        m_state.hedging.recordOverdueEnded(context.serviceName);
    context.attemptsRace = answer && race->secondRuns;
    if (attempt.cancelled && answer) {
        drop(attempt);
        answer.reset();
    }
    const bool firstWins = answer && (isAcceptable(*answer) || !race->secondRuns);
    // The request may be what broke the connection, so that the rules of a retry apply to what was not sent.
    const bool mayHaveCrashed = attempt.connectionBroke && !race->second.sent;
    if ((firstWins || mayHaveCrashed) && race->secondRuns) {
        cancel(race->second);
        context.sleep.interrupt();
    }
    if (!answer)
        finishAttempt(context, attempt, fiber);
    else if (!firstWins)
        waitForSecond(*race, fiber);
    if (answer) {
        endRace(*race, std::move(answer), fiber);
        waitForSecond(*race, fiber);
        return;
    }
    waitForSecond(*race, fiber);
    endRace(*race, std::nullopt, fiber);
}

void Router::waitForSecond(HedgeRace &race, const Fiber &fiber)
{
    while (race.secondRuns)
        (void)race.secondEnd.sleepFor(EndCheckPeriod, fiber);
}

void Router::endRace(HedgeRace &race, std::optional<UpstreamAnswer> answer, const Fiber &fiber)
{
    RequestContext &context = race.context;
    UpstreamAttempt &first = race.first;
    UpstreamAttempt &second = race.second;
    context.attemptsRace = false;
    if (answer && (isAcceptable(*answer) || !race.secondAnswer || !isAcceptable(*race.secondAnswer))) {
        if (race.secondAnswer) {
            fail(second);
            finishAttempt(context, second, fiber);
        }
        moveLast(context.triedUpstreams, first.upstream);
        relayAnswer(context, first, std::move(*answer), fiber);
        finishAttempt(context, first, fiber);
        return;
    }
    if (answer) {
        fail(first);
        finishAttempt(context, first, fiber);
    }
    if (race.secondAnswer) {
        context.hedgeWon = true;
        m_state.metrics.add(HedgesMetric, "won");
        relayAnswer(context, second, std::move(*race.secondAnswer), fiber);
        finishAttempt(context, second, fiber);
        first = std::move(second);
    } else if (second.sent && (first.verdict == Verdict::NotRun || second.retryGranted)) {
        // What follows depends on the attempt that may have run, or for which a retry was granted.
        first = std::move(second);
    }
}

} // namespace chestnutsill
