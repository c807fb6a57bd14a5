#include <topaztack/samples/slot_planner.hpp>

#include <algorithm>
#include <limits>

namespace topaztack {

using namespace std::chrono_literals;

namespace {

    constexpr double smoothingFactor = 0.1;
    constexpr auto baseBackoff = 50ms;
    constexpr auto maxBackoff = 2s;
    /// The open slots of a step count as stragglers if there is at most one for this many slots of the step.
    constexpr std::size_t slotsPerStraggler = 10;
    /// A sample past its expected length is expected to reach this multiple of the tokens it has.
    constexpr double overrunFactor = 1.25;
    /// A slot is moved only while its moves and failures together are fewer than this.
    constexpr std::uint64_t maxMoves = 2;

    void updateMean(double& mean, double value) { mean = mean == 0 ? value : mean + smoothingFactor * (value - mean); }

    void updateMean(Duration& mean, Duration value)
    {
        if (mean == Duration::zero())
            mean = value;
        else
            mean += std::chrono::duration_cast<Duration>((value - mean) * smoothingFactor);
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

    std::size_t countRunning(const SlotPlanner& planner)
    {
        std::size_t count = 0;
        for (const auto& [slot, work] : planner.work)
            count += work.attempts.size();
        return count;
    }

    /// Cancels every attempt of a slot.
    void cancelAttempts(SlotPlanner& planner, const SlotName& slot, SlotWork& work, std::vector<SlotAction>& actions)
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

    Duration generationTime(double tokens, Duration tokenTime)
    {
        return std::chrono::duration_cast<Duration>(tokenTime * tokens);
    }

    Duration expectedDuration(const SlotPlanner& planner, const SlotName& slot, const PlannerRules& rules)
    {
        return planner.estimates.firstTokenTime
            + generationTime(expectedTokens(planner, slot, rules), planner.estimates.tokenTime);
    }

    /// A start is deferred to the next version only if the sample would be stale when started now and fresh when
    /// started then.
    bool isDeferred(const SlotPlanner& planner, const SlotName& slot, const PlannerRules& rules, TimePoint now)
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

    /// One sample of each group of unknown length is started first, to learn the length; then the longest groups
    /// follow.
    double startPriority(const SlotPlanner& planner, const SlotName& slot)
    {
        const auto group = planner.estimates.groupTokens.find({ slot.step, slot.group });
        if (group != planner.estimates.groupTokens.end())
            return group->second;
        return slot.index.value() == 0 ? std::numeric_limits<double>::max() : planner.estimates.tokens;
    }

    std::vector<SlotName> startableSlots(
        const SlotPlanner& planner, const Ledger& ledger, StepNumber step, const PlannerRules& rules, TimePoint now)
    {
        std::vector<std::pair<double, SlotName>> open;
        for (const auto& [slot, refusal] : missingSlots(ledger, step)) {
            const auto work = planner.work.find(slot);
            const bool isBusy = work != planner.work.end()
                && (work->second.isFinished || !work->second.attempts.empty() || work->second.notBefore > now);
            if (!isBusy && !isDeferred(planner, slot, rules, now))
                open.emplace_back(rules.ordersLongestFirst ? startPriority(planner, slot) : 0, slot);
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
            for (std::size_t index = 0; index < work.attempts.size();) {
                const auto& attempt = work.attempts[index];
                if (!isStale(rules.bound, attempt.oldest, attempt.startedWall, planner.newest, wallNow)) {
                    ++index;
                    continue;
                }
                actions.push_back({ SlotActionKind::Cancel, slot, attempt.id, 0, RequestClass::Rollout });
                planner.totals.tokensWasted += attempt.tokens;
                ++planner.totals.discardedStale;
                work.attempts.erase(work.attempts.begin() + static_cast<std::ptrdiff_t>(index));
            }
        }
    }

    /// Mean time per token of one attempt so far; for an attempt without a token, the time since its start.
    Duration meanTokenTime(const SlotAttempt& attempt, TimePoint now)
    {
        const auto made = attempt.tokens - attempt.carriedTokens;
        if (!attempt.firstToken || made == 0)
            return now - attempt.started;
        return (now - *attempt.firstToken) / static_cast<Duration::rep>(made);
    }

    StragglerEstimates estimateStraggler(const SlotPlanner& planner, const SlotName& slot, const SlotWork& work,
        const PlannerRules& rules, TimePoint now)
    {
        const auto& attempt = work.attempts.front();
        const auto& estimates = planner.estimates;
        const double made = static_cast<double>(attempt.tokens);
        const double limit = static_cast<double>(rules.maxTokens);
        const double total = std::min(limit, std::max(expectedTokens(planner, slot, rules), made * overrunFactor + 1));
        const double remaining = std::max(1.0, total - made);
        StragglerEstimates straggler;
        straggler.waitTime = generationTime(remaining, std::max(meanTokenTime(attempt, now), estimates.tokenTime));
        straggler.moveTime = estimates.firstTokenTime + generationTime(remaining, estimates.tokenTime);
        straggler.hedgeTime
            = std::min(straggler.waitTime, estimates.firstTokenTime + generationTime(total, estimates.tokenTime));
        const double lagNow = static_cast<double>(
            planner.newest.value() > attempt.oldest.value() ? planner.newest.value() - attempt.oldest.value() : 0);
        straggler.waitLag = lagNow + static_cast<double>(predictedLag(estimates, straggler.waitTime, now));
        straggler.moveLag = lagNow + static_cast<double>(predictedLag(estimates, straggler.moveTime, now));
        straggler.hedgeLag = static_cast<double>(predictedLag(estimates, straggler.hedgeTime, now));
        straggler.mayMove = rules.movesStragglers && attempt.tokens > 0 && work.failures < maxMoves;
        const double budget = rules.hedgeWasteBudget * static_cast<double>(planner.totals.tokensMade);
        straggler.mayHedge
            = rules.hedgesStragglers && static_cast<double>(planner.totals.hedgeTokensReserved) + total <= budget;
        return straggler;
    }

    void handleStragglers(SlotPlanner& planner, StepNumber step, const PlannerRules& rules, std::size_t& free,
        TimePoint now, WallTime wallNow, std::vector<SlotAction>& actions)
    {
        if (planner.totals.finished == 0)
            return;
        const auto typical
            = planner.estimates.firstTokenTime + generationTime(planner.estimates.tokens, planner.estimates.tokenTime);
        for (auto& [slot, work] : planner.work) {
            if (slot.step != step || work.attempts.size() != 1 || work.isFinished)
                continue;
            const auto straggler = estimateStraggler(planner, slot, work, rules, now);
            const auto choice = chooseStragglerAction(straggler, rules, typical);
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

    std::size_t countSlots(const LedgerStep& step)
    {
        std::size_t count = 0;
        for (const auto& [id, group] : step)
            count += group.filled.size();
        return count;
    }

    /// The open slots of a step are urgent if the trainer waits for that step and few of its slots are open.
    bool isUrgent(const Ledger& ledger, StepNumber step, StepNumber current, std::size_t open)
    {
        return step == current && open * slotsPerStraggler <= countSlots(ledger.steps.at(step));
    }

    void updateEstimates(
        SlotPlanner& planner, const SlotName& slot, const SlotAttempt& attempt, std::uint64_t tokens, TimePoint now)
    {
        auto& estimates = planner.estimates;
        updateMean(estimates.tokens, static_cast<double>(tokens));
        updateMean(estimates.groupTokens[{ slot.step, slot.group }], static_cast<double>(tokens));
        const auto made = attempt.tokens - attempt.carriedTokens;
        if (!attempt.firstToken || made < 2)
            return;
        updateMean(estimates.firstTokenTime, *attempt.firstToken - attempt.started);
        updateMean(estimates.tokenTime, (now - *attempt.firstToken) / static_cast<Duration::rep>(made - 1));
    }

} // namespace

std::vector<SlotAction> handleLedgerUpdate(SlotPlanner& planner, const Ledger& ledger, TimePoint now)
{
    if (ledger.newest > planner.newest) {
        if (planner.estimates.lastVersion)
            updateMean(planner.estimates.versionInterval, now - *planner.estimates.lastVersion);
        planner.estimates.lastVersion = now;
        planner.newest = ledger.newest;
    }
    std::vector<SlotAction> actions;
    for (auto entry = planner.work.begin(); entry != planner.work.end();) {
        const auto step = ledger.steps.find(entry->first.step);
        const auto* group = step == ledger.steps.end() || !step->second.contains(entry->first.group)
            ? nullptr
            : &step->second.at(entry->first.group);
        const bool isWanted = group && !group->filled[entry->first.index.value()];
        if (!isWanted) {
            cancelAttempts(planner, entry->first, entry->second, actions);
            entry = planner.work.erase(entry);
        } else {
            ++entry;
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
    const auto busy = countRunning(planner);
    std::size_t free = rules.capacity > busy ? rules.capacity - busy : 0;
    bool isCurrentAllStarted = false;
    for (const auto& [step, groups] : ledger.steps) {
        if (step < *current)
            continue;
        if (step.value() > current->value() + rules.lookahead)
            break;
        const auto slots = startableSlots(planner, ledger, step, rules, now);
        const auto open = missingSlots(ledger, step).size();
        const auto requestClass
            = isUrgent(ledger, step, *current, open) ? RequestClass::Straggler : RequestClass::Rollout;
        std::size_t started = 0;
        for (; started < slots.size() && free > 0; ++started, --free) {
            const auto& attempt = addAttempt(planner, slots[started], now, wallNow);
            actions.push_back({ SlotActionKind::Start, slots[started], attempt.id, 0, requestClass });
        }
        if (step == *current) {
            isCurrentAllStarted = started == slots.size();
            if (isCurrentAllStarted)
                handleStragglers(planner, step, rules, free, now, wallNow, actions);
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
    updateEstimates(planner, slot, done, tokens, now);
    ++planner.totals.finished;
    verdict.isAccepted = true;
    cancelAttempts(planner, slot, work, verdict.actions);
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
    const auto backoff = std::min<Duration>(maxBackoff, baseBackoff * (1U << std::min(work.failures, 8U)));
    work.notBefore = now + backoff;
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
