#include <topaztack/samples/slot_planner.hpp>

#include <algorithm>
#include <limits>

namespace topaztack {

using namespace std::chrono_literals;

namespace {

    constexpr double decay = 0.1;
    constexpr auto baseBackoff = 50ms;
    constexpr auto maxBackoff = 2s;
    /// Part of a step that may be open for its slots to count as stragglers.
    constexpr std::size_t stragglerShareOfStep = 10;
    /// A sample is expected to run on by this factor of what it has made already.
    constexpr double runsOnBy = 1.25;
    constexpr std::uint64_t mostMoves = 2;

    void learn(double& mean, double value) { mean = mean == 0 ? value : mean + decay * (value - mean); }

    void learn(Duration& mean, Duration value)
    {
        if (mean == Duration::zero())
            mean = value;
        else
            mean += std::chrono::duration_cast<Duration>((value - mean) * decay);
    }

    SlotAttempt* findAttempt(SlotPlanner& planner, const SlotName& slot, std::uint64_t attempt)
    {
        const auto found = planner.work.find(slot);
        if (found == planner.work.end())
            return nullptr;
        for (auto& candidate : found->second.attempts) {
            if (candidate.id == attempt)
                return &candidate;
        }
        return nullptr;
    }

    std::size_t running(const SlotPlanner& planner)
    {
        std::size_t count = 0;
        for (const auto& [slot, work] : planner.work)
            count += work.attempts.size();
        return count;
    }

    /// Ends every attempt of a slot.
    void cancelAll(SlotPlanner& planner, const SlotName& slot, SlotWork& work, std::vector<SlotAction>& actions)
    {
        for (const auto& attempt : work.attempts) {
            actions.push_back({ SlotActionKind::Cancel, slot, attempt.id, 0, RequestClass::Rollout });
            planner.totals.tokensWasted += attempt.tokens;
        }
        work.attempts.clear();
    }

    double expectedTokens(const SlotPlanner& planner, const SlotName& slot, const PlannerRules& rules)
    {
        const auto group = planner.estimates.groupTokens.find({ slot.step, slot.group });
        const double mean = group == planner.estimates.groupTokens.end() ? planner.estimates.tokens : group->second;
        return std::min(mean, static_cast<double>(rules.maxTokens));
    }

    Duration timeFor(double tokens, Duration tokenTime)
    {
        return std::chrono::duration_cast<Duration>(tokenTime * tokens);
    }

    Duration expectedDuration(const SlotPlanner& planner, const SlotName& slot, const PlannerRules& rules)
    {
        return planner.estimates.firstTokenTime
            + timeFor(expectedTokens(planner, slot, rules), planner.estimates.tokenTime);
    }

    /// Waiting for the next version pays only if the sample would be stale when begun now, and fresh when begun then.
    bool isHeldBack(const SlotPlanner& planner, const SlotName& slot, const PlannerRules& rules, TimePoint now)
    {
        if (!rules.defersStaleStarts || !planner.estimates.lastVersion)
            return false;
        const auto duration = expectedDuration(planner, slot, rules);
        if (predictedLag(planner.estimates, duration, now) <= rules.bound.versions)
            return false;
        const auto next = *planner.estimates.lastVersion + planner.estimates.versionInterval;
        if (next <= now)
            return false;
        const auto lagThen = static_cast<std::uint64_t>(duration / planner.estimates.versionInterval);
        return lagThen <= rules.bound.versions;
    }

    /// Groups not seen yet send one sample ahead, which shows their length; then the longest go first.
    double startScore(const SlotPlanner& planner, const SlotName& slot)
    {
        const auto group = planner.estimates.groupTokens.find({ slot.step, slot.group });
        if (group != planner.estimates.groupTokens.end())
            return group->second;
        return slot.index.value() == 0 ? std::numeric_limits<double>::max() : planner.estimates.tokens;
    }

    std::vector<SlotName> startable(
        const SlotPlanner& planner, const Ledger& ledger, StepNumber step, const PlannerRules& rules, TimePoint now)
    {
        std::vector<std::pair<double, SlotName>> open;
        for (const auto& [slot, refusal] : missingSlots(ledger, step)) {
            const auto work = planner.work.find(slot);
            const bool isBusy = work != planner.work.end()
                && (work->second.isFinished || !work->second.attempts.empty() || work->second.notBefore > now);
            if (!isBusy && !isHeldBack(planner, slot, rules, now))
                open.emplace_back(rules.ordersLongestFirst ? startScore(planner, slot) : 0, slot);
        }
        std::stable_sort(
            open.begin(), open.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
        std::vector<SlotName> slots;
        slots.reserve(open.size());
        for (auto& entry : open)
            slots.push_back(std::move(entry.second));
        return slots;
    }

    SlotAttempt& addAttempt(SlotPlanner& planner, const SlotName& slot, TimePoint now, WallTime wallNow)
    {
        SlotAttempt attempt;
        attempt.id = planner.nextAttempt++;
        attempt.started = now;
        attempt.startedWall = wallNow;
        attempt.oldest = planner.newest;
        ++planner.totals.started;
        auto& attempts = planner.work[slot].attempts;
        attempts.push_back(attempt);
        return attempts.back();
    }

    void cancelStale(
        SlotPlanner& planner, const PlannerRules& rules, WallTime wallNow, std::vector<SlotAction>& actions)
    {
        for (auto& [slot, work] : planner.work) {
            for (std::size_t place = 0; place < work.attempts.size();) {
                const auto& attempt = work.attempts[place];
                if (!isStale(rules.bound, attempt.oldest, attempt.startedWall, planner.newest, wallNow)) {
                    ++place;
                    continue;
                }
                actions.push_back({ SlotActionKind::Cancel, slot, attempt.id, 0, RequestClass::Rollout });
                planner.totals.tokensWasted += attempt.tokens;
                ++planner.totals.discardedStale;
                work.attempts.erase(work.attempts.begin() + static_cast<std::ptrdiff_t>(place));
            }
        }
    }

    /// Mean token time of one attempt so far; an attempt without a token counts its whole wait.
    Duration ownTokenTime(const SlotAttempt& attempt, TimePoint now)
    {
        const auto made = attempt.tokens - attempt.carriedTokens;
        if (!attempt.firstToken || made == 0)
            return now - attempt.started;
        return (now - *attempt.firstToken) / static_cast<Duration::rep>(made);
    }

    StragglerEstimates optionsOf(const SlotPlanner& planner, const SlotName& slot, const SlotWork& work,
        const PlannerRules& rules, TimePoint now)
    {
        const auto& attempt = work.attempts.front();
        const auto& estimates = planner.estimates;
        const double made = static_cast<double>(attempt.tokens);
        const double most = static_cast<double>(rules.maxTokens);
        const double total = std::min(most, std::max(expectedTokens(planner, slot, rules), made * runsOnBy + 1));
        const double left = std::max(1.0, total - made);
        StragglerEstimates options;
        options.wait = timeFor(left, std::max(ownTokenTime(attempt, now), estimates.tokenTime));
        options.move = estimates.firstTokenTime + timeFor(left, estimates.tokenTime);
        options.hedge = std::min(options.wait, estimates.firstTokenTime + timeFor(total, estimates.tokenTime));
        const double lagNow = static_cast<double>(
            planner.newest.value() > attempt.oldest.value() ? planner.newest.value() - attempt.oldest.value() : 0);
        options.waitLag = lagNow + static_cast<double>(predictedLag(estimates, options.wait, now));
        options.moveLag = lagNow + static_cast<double>(predictedLag(estimates, options.move, now));
        options.hedgeLag = static_cast<double>(predictedLag(estimates, options.hedge, now));
        options.mayMove = rules.movesStragglers && attempt.tokens > 0 && work.failures < mostMoves;
        const double budget = rules.hedgeWasteBudget * static_cast<double>(planner.totals.tokensMade);
        options.mayHedge
            = rules.hedgesStragglers && static_cast<double>(planner.totals.hedgeTokensReserved) + total <= budget;
        return options;
    }

    void rescueStragglers(SlotPlanner& planner, StepNumber step, const PlannerRules& rules, std::size_t& free,
        TimePoint now, WallTime wallNow, std::vector<SlotAction>& actions)
    {
        if (planner.totals.finished == 0)
            return;
        const auto typical
            = planner.estimates.firstTokenTime + timeFor(planner.estimates.tokens, planner.estimates.tokenTime);
        for (auto& [slot, work] : planner.work) {
            if (slot.step != step || work.attempts.size() != 1 || work.isFinished)
                continue;
            const auto options = optionsOf(planner, slot, work, rules, now);
            const auto choice = chooseStragglerAction(options, rules, typical);
            const auto old = work.attempts.front();
            if (choice == StragglerChoice::Move) {
                work.attempts.clear();
                ++work.failures;
                auto& moved = addAttempt(planner, slot, now, old.startedWall);
                moved.tokens = old.tokens;
                moved.carriedTokens = old.tokens;
                moved.oldest = old.oldest;
                ++planner.totals.moved;
                actions.push_back({ SlotActionKind::Move, slot, moved.id, old.id, RequestClass::Straggler });
            } else if (choice == StragglerChoice::Hedge && free > 0) {
                auto& hedge = addAttempt(planner, slot, now, wallNow);
                hedge.isHedge = true;
                --free;
                ++planner.totals.hedged;
                planner.totals.hedgeTokensReserved
                    += static_cast<std::uint64_t>(expectedTokens(planner, slot, rules)) + 1;
                actions.push_back({ SlotActionKind::Hedge, slot, hedge.id, old.id, RequestClass::Straggler });
            }
        }
    }

    std::size_t slotsOf(const LedgerStep& step)
    {
        std::size_t count = 0;
        for (const auto& [id, group] : step)
            count += group.filled.size();
        return count;
    }

    /// A slot is urgent if the trainer waits for its step and few others of it are open.
    bool isUrgent(const Ledger& ledger, StepNumber step, StepNumber current, std::size_t open)
    {
        return step == current && open * stragglerShareOfStep <= slotsOf(ledger.steps.at(step));
    }

    void learnFinished(
        SlotPlanner& planner, const SlotName& slot, const SlotAttempt& attempt, std::uint64_t tokens, TimePoint now)
    {
        auto& estimates = planner.estimates;
        learn(estimates.tokens, static_cast<double>(tokens));
        learn(estimates.groupTokens[{ slot.step, slot.group }], static_cast<double>(tokens));
        const auto made = attempt.tokens - attempt.carriedTokens;
        if (!attempt.firstToken || made < 2)
            return;
        learn(estimates.firstTokenTime, *attempt.firstToken - attempt.started);
        learn(estimates.tokenTime, (now - *attempt.firstToken) / static_cast<Duration::rep>(made - 1));
    }

} // namespace

std::vector<SlotAction> handleLedgerUpdate(SlotPlanner& planner, const Ledger& ledger, TimePoint now)
{
    if (ledger.newest > planner.newest) {
        if (planner.estimates.lastVersion)
            learn(planner.estimates.versionInterval, now - *planner.estimates.lastVersion);
        planner.estimates.lastVersion = now;
        planner.newest = ledger.newest;
    }
    std::vector<SlotAction> actions;
    for (auto place = planner.work.begin(); place != planner.work.end();) {
        const auto step = ledger.steps.find(place->first.step);
        const auto* group = step == ledger.steps.end() || !step->second.contains(place->first.group)
            ? nullptr
            : &step->second.at(place->first.group);
        const bool isWanted = group && !group->filled[place->first.index.value()];
        if (!isWanted) {
            cancelAll(planner, place->first, place->second, actions);
            place = planner.work.erase(place);
        } else {
            ++place;
        }
    }
    std::erase_if(planner.estimates.groupTokens,
        [&ledger](const auto& entry) { return !ledger.steps.contains(entry.first.first); });
    return actions;
}

std::vector<SlotAction> planSlots(
    SlotPlanner& planner, const Ledger& ledger, const PlannerRules& rules, TimePoint now, WallTime wallNow)
{
    std::vector<SlotAction> actions;
    if (rules.cancelsStale)
        cancelStale(planner, rules, wallNow, actions);
    const auto current = currentStep(ledger);
    if (!current)
        return actions;
    const auto busy = running(planner);
    std::size_t free = rules.capacity > busy ? rules.capacity - busy : 0;
    bool isCurrentAllStarted = false;
    for (const auto& [step, groups] : ledger.steps) {
        if (step < *current)
            continue;
        if (step.value() > current->value() + rules.lookahead)
            break;
        const auto slots = startable(planner, ledger, step, rules, now);
        const auto open = missingSlots(ledger, step).size();
        const auto requestClass
            = isUrgent(ledger, step, *current, open) ? RequestClass::Straggler : RequestClass::Rollout;
        std::size_t begun = 0;
        for (; begun < slots.size() && free > 0; ++begun, --free) {
            const auto& attempt = addAttempt(planner, slots[begun], now, wallNow);
            actions.push_back({ SlotActionKind::Start, slots[begun], attempt.id, 0, requestClass });
        }
        if (step == *current) {
            isCurrentAllStarted = begun == slots.size();
            if (isCurrentAllStarted)
                rescueStragglers(planner, step, rules, free, now, wallNow, actions);
        }
    }
    return actions;
}

void handleTokens(SlotPlanner& planner, const SlotName& slot, std::uint64_t attempt, std::uint64_t tokens,
    WeightVersion version, TimePoint now)
{
    auto* found = findAttempt(planner, slot, attempt);
    if (!found || tokens == 0)
        return;
    const bool isFirst = !found->firstToken;
    if (isFirst)
        found->firstToken = now;
    found->oldest = isFirst && found->carriedTokens == 0 ? version : std::min(found->oldest, version);
    found->tokens += tokens;
    planner.totals.tokensMade += tokens;
}

AttemptVerdict handleAttemptFinished(SlotPlanner& planner, const SlotName& slot, std::uint64_t attempt,
    const VersionSpans& spans, std::uint64_t tokens, const PlannerRules& rules, TimePoint now, WallTime wallNow)
{
    AttemptVerdict verdict;
    const auto* found = findAttempt(planner, slot, attempt);
    if (!found)
        return verdict;
    auto& work = planner.work[slot];
    const auto done = *found;
    std::erase_if(work.attempts, [attempt](const SlotAttempt& candidate) { return candidate.id == attempt; });
    const auto oldest = oldestVersion(spans);
    if (!oldest || !coversAllTokens(spans, static_cast<std::uint32_t>(tokens))) {
        verdict.refusal = SampleRefusal::UncertainSpan;
        ++planner.totals.discardedUncertain;
    } else if (isStale(rules.bound, *oldest, done.startedWall, planner.newest, wallNow)) {
        verdict.refusal = SampleRefusal::Stale;
        ++planner.totals.discardedStale;
    }
    if (verdict.refusal != SampleRefusal::None) {
        planner.totals.tokensWasted += tokens;
        return verdict;
    }
    learnFinished(planner, slot, done, tokens, now);
    ++planner.totals.finished;
    verdict.isAccepted = true;
    cancelAll(planner, slot, work, verdict.actions);
    work.isFinished = true;
    return verdict;
}

void handleAttemptFailed(
    SlotPlanner& planner, const SlotName& slot, std::uint64_t attempt, bool isIntentionalCancel, TimePoint now)
{
    const auto* found = findAttempt(planner, slot, attempt);
    if (!found)
        return;
    auto& work = planner.work[slot];
    planner.totals.tokensWasted += found->tokens;
    std::erase_if(work.attempts, [attempt](const SlotAttempt& candidate) { return candidate.id == attempt; });
    if (isIntentionalCancel)
        return;
    ++planner.totals.failed;
    ++work.failures;
    const auto pause = std::min<Duration>(maxBackoff, baseBackoff * (1U << std::min(work.failures, 8U)));
    work.notBefore = now + pause;
}

bool hasAttempt(const SlotPlanner& planner, const SlotName& slot, std::uint64_t attempt)
{
    const auto found = planner.work.find(slot);
    if (found == planner.work.end())
        return false;
    const auto& attempts = found->second.attempts;
    return std::any_of(
        attempts.begin(), attempts.end(), [attempt](const SlotAttempt& candidate) { return candidate.id == attempt; });
}

void reopenSlot(SlotPlanner& planner, const SlotName& slot)
{
    const auto found = planner.work.find(slot);
    if (found != planner.work.end())
        found->second.isFinished = false;
}

} // namespace topaztack
