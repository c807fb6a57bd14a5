#include "samples_simulation.hpp"

#include <topaztack/base/random.hpp>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace topaztack::bench {

using namespace std::chrono_literals;

namespace {

    constexpr auto tick = 20ms;
    constexpr auto commitInterval = 1s;
    constexpr auto lastCommitInterval = 200ms;
    constexpr auto fetchInterval = 100ms;
    constexpr auto longestRun = 2h;
    constexpr std::size_t samplesAFetch = 1000;

    double normal(Random& random)
    {
        const double radius = std::sqrt(-2 * std::log(1 - random.unit()));
        return radius * std::cos(2 * std::numbers::pi * random.unit());
    }

    /// One generation on a simulated engine.
    struct Stream {
        SlotName slot;
        std::uint64_t attempt { 0 };
        std::size_t engine { 0 };
        TimePoint firstAt;
        Duration tokenTime { 0 };
        std::uint64_t before { 0 };
        std::uint64_t made { 0 };
        std::uint64_t length { 0 };
        VersionSpans spans;
    };

    class Simulation {
    public:
        Simulation(const SamplesWorkload& workload, const PlannerRules& rules, bool isFirstCome, std::uint64_t seed)
            : workload(workload)
            , rules(rules)
            , seed(seed)
            , random(seed)
        {
            this->rules.maxTokens = workload.maxTokens;
            this->rules.capacity = workload.engines * workload.slotsPerEngine;
            this->rules.lookahead
                = isFirstCome ? workload.postedAhead : workload.lookahead.value_or(lookaheadSteps(rules));
            this->engineVersions.assign(workload.engines, WeightVersion(1));
            this->swapAt.assign(workload.engines, TimePoint());
            this->load.assign(workload.engines, 0);
            this->postVersion(WeightVersion(1));
        }

        SamplesResult run()
        {
            for (std::uint64_t step = 1; step <= this->workload.postedAhead + 1; ++step)
                this->postStep(step);
            while (this->trained < this->workload.steps && this->now - this->begun < longestRun) {
                this->advanceEngines();
                this->commitIfDue();
                this->perform(planSlots(this->planner, this->ledger, this->rules, this->now, this->wall()));
                this->train();
                this->now += tick;
            }
            return this->result();
        }

    private:
        WallTime wall() const
        {
            return WallTime(std::chrono::duration_cast<WallClock::duration>(this->now.time_since_epoch()));
        }

        void postStep(std::uint64_t step)
        {
            std::vector<PostedGroup> groups;
            for (std::uint32_t group = 0; group < this->workload.groups; ++group)
                groups.push_back({ GroupId(std::to_string(group)), "p", this->workload.samplesPerGroup });
            postGroups(this->ledger, StepNumber(step), groups, ObjectKey("p")).value();
        }

        void postVersion(WeightVersion version)
        {
            topaztack::postVersion(this->ledger, version, this->wall()).value();
            this->perform(handleLedgerUpdate(this->planner, this->ledger, this->now));
            for (auto& at : this->swapAt) {
                const auto share = this->random.unit();
                at = this->now + std::chrono::duration_cast<Duration>(this->workload.swapTime * share);
            }
        }

        /// The same slot has the same length in every run and attempt.
        std::uint64_t lengthOf(const SlotName& slot) const
        {
            const auto name = std::to_string(slot.step.value()) + "/" + slot.group.value();
            Random group(stableHash(name, this->seed));
            Random sample(stableHash(name + "/" + std::to_string(slot.index.value()), this->seed));
            const double spread
                = this->workload.groupSpread * normal(group) + this->workload.sampleSpread * normal(sample);
            const auto tokens = static_cast<std::uint64_t>(this->workload.medianTokens * std::exp(spread));
            return std::clamp<std::uint64_t>(tokens, 1, this->workload.maxTokens);
        }

        std::size_t leastLoaded(std::size_t avoid) const
        {
            std::size_t best = avoid == 0 && this->load.size() > 1 ? 1 : 0;
            for (std::size_t engine = 0; engine < this->load.size(); ++engine) {
                if (engine != avoid && this->load[engine] < this->load[best])
                    best = engine;
            }
            return best;
        }

        std::vector<Stream>::iterator find(std::uint64_t attempt)
        {
            return std::find_if(this->streams.begin(), this->streams.end(),
                [attempt](const Stream& stream) { return stream.attempt == attempt; });
        }

        void end(std::vector<Stream>::iterator stream)
        {
            --this->load[stream->engine];
            this->streams.erase(stream);
        }

        void start(const SlotAction& action, std::size_t avoid, std::uint64_t before, VersionSpans spans)
        {
            Stream stream;
            stream.slot = action.slot;
            stream.attempt = action.attempt;
            stream.engine = this->leastLoaded(avoid);
            stream.firstAt = this->now + this->workload.firstTokenTime;
            const bool isSlow = this->random.unit() < this->workload.stragglerShare;
            stream.tokenTime = std::chrono::duration_cast<Duration>(
                this->workload.tokenTime * (isSlow ? this->workload.stragglerFactor : 1.0));
            stream.before = before;
            stream.made = before;
            stream.length = this->lengthOf(action.slot);
            stream.spans = std::move(spans);
            ++this->load[stream.engine];
            this->streams.push_back(std::move(stream));
        }

        void perform(const std::vector<SlotAction>& actions)
        {
            for (const auto& action : actions) {
                const auto originalAttempt = this->find(action.originalAttempt);
                const bool hasOther = action.originalAttempt != 0 && originalAttempt != this->streams.end();
                if (action.kind == SlotActionKind::Cancel) {
                    const auto stream = this->find(action.attempt);
                    if (stream != this->streams.end())
                        this->end(stream);
                } else if (action.kind == SlotActionKind::Move && hasOther) {
                    const auto old = *originalAttempt;
                    this->end(originalAttempt);
                    this->start(action, old.engine, old.made, old.spans);
                } else {
                    this->start(action, hasOther ? originalAttempt->engine : this->load.size(), 0, {});
                }
            }
        }

        void swapEngines()
        {
            for (std::size_t engine = 0; engine < this->engineVersions.size(); ++engine) {
                if (this->swapAt[engine] <= this->now)
                    this->engineVersions[engine] = this->ledger.newest;
            }
        }

        void advanceEngines()
        {
            this->swapEngines();
            std::vector<Stream> ended;
            for (auto& stream : this->streams) {
                if (this->now < stream.firstAt)
                    continue;
                const auto due
                    = stream.before + 1 + static_cast<std::uint64_t>((this->now - stream.firstAt) / stream.tokenTime);
                const auto made = std::min(stream.length, due);
                if (made > stream.made) {
                    const auto version = this->engineVersions[stream.engine];
                    appendChunk(stream.spans, version, static_cast<std::uint32_t>(made - stream.made));
                    handleTokens(this->planner, stream.slot, stream.attempt, made - stream.made, version, this->now);
                    stream.made = made;
                }
                if (stream.made >= stream.length)
                    ended.push_back(stream);
            }
            for (const auto& stream : ended)
                this->finish(stream);
        }

        void finish(const Stream& stream)
        {
            const auto place = this->find(stream.attempt);
            if (place == this->streams.end())
                return; // cancelled by another copy's end
            this->end(place);
            const auto verdict = handleAttemptFinished(this->planner, stream.slot, stream.attempt, stream.spans,
                stream.made, this->rules, this->now, this->wall());
            if (verdict.isAccepted)
                this->finished.push_back({ stream.slot, static_cast<std::uint32_t>(this->finished.size()),
                    *oldestVersion(stream.spans), this->wall() });
            this->perform(verdict.actions);
        }

        void commitIfDue()
        {
            const auto since = this->now - this->committedAt;
            const auto current = currentStep(this->ledger);
            const auto open = current ? missingSlots(this->ledger, *current).size() : 0;
            const bool isEnd = this->finished.size() >= open && since > lastCommitInterval;
            if (since <= commitInterval && (this->finished.empty() || !isEnd))
                return;
            this->committedAt = this->now;
            withdrawStale(this->ledger, this->rules.bound, this->wall());
            commitSamples(this->ledger, ObjectKey(std::to_string(++this->commits)), this->finished);
            for (const auto& slot : this->finished)
                this->lengths[slot.slot] = this->lengthOf(slot.slot);
            this->finished.clear();
            pruneLedger(this->ledger);
            this->perform(handleLedgerUpdate(this->planner, this->ledger, this->now));
        }

        void fetch()
        {
            if (this->now - this->fetchedAt < fetchInterval)
                return;
            this->fetchedAt = this->now;
            const auto handed
                = handOut(this->ledger, this->after, samplesAFetch, this->rules.bound, this->wall()).value();
            for (const auto& sample : handed.samples) {
                this->after = sample.entry.sequence;
                const auto newest = this->ledger.newest.value();
                this->lags.push_back(newest - std::min(newest, sample.entry.oldest.value()));
                this->received[sample.entry.slot.step].push_back(sample.entry.oldest);
            }
        }

        void train()
        {
            this->fetch();
            if (this->trainingUntil) {
                if (this->now < *this->trainingUntil)
                    return;
                this->trainingUntil.reset();
                ++this->trained;
                this->postVersion(WeightVersion(this->ledger.newest.value() + 1));
                this->postStep(this->trained + this->workload.postedAhead + 1);
            }
            const auto whole = static_cast<std::uint64_t>(this->workload.groups) * this->workload.samplesPerGroup;
            const auto& samples = this->received[StepNumber(this->trained + 1)];
            if (samples.size() < whole) {
                this->idle += tick;
                return;
            }
            this->trainingUntil = this->now + this->workload.trainingTime;
            const auto newest = this->ledger.newest.value();
            for (const auto oldest : samples)
                this->lagsInUse.push_back(newest - std::min(newest, oldest.value()));
        }

        SamplesResult result()
        {
            SamplesResult result;
            const auto total = this->now - this->begun;
            result.isWhole = this->trained >= this->workload.steps;
            result.seconds = std::chrono::duration<double>(total).count();
            result.idleShare = std::chrono::duration<double>(this->idle).count() / result.seconds;
            std::sort(this->lags.begin(), this->lags.end());
            result.delivered = this->lags.size();
            for (const auto lag : this->lags)
                result.lagMean += static_cast<double>(lag) / static_cast<double>(this->lags.size());
            if (!this->lags.empty()) {
                result.lagP99 = this->lags[this->lags.size() * 99 / 100];
                result.lagMost = this->lags.back();
            }
            for (const auto lag : this->lagsInUse) {
                result.lagInUseMean += static_cast<double>(lag) / static_cast<double>(this->lagsInUse.size());
                result.lagInUseMost = std::max(result.lagInUseMost, lag);
            }
            const auto& totals = this->planner.totals;
            result.discarded = totals.discardedStale + this->ledger.withdrawn;
            result.hedged = totals.hedged;
            result.moved = totals.moved;
            const double withdrawnTokens = static_cast<double>(this->ledger.withdrawn) * this->planner.estimates.tokens;
            result.wastedShare = (static_cast<double>(totals.tokensWasted) + withdrawnTokens)
                / std::max(1.0, static_cast<double>(totals.tokensMade));
            return result;
        }

        const SamplesWorkload& workload;
        PlannerRules rules;
        std::uint64_t seed;
        Random random;
        const TimePoint begun { 1h };
        TimePoint now { 1h };
        Ledger ledger;
        SlotPlanner planner;
        std::vector<WeightVersion> engineVersions;
        std::vector<TimePoint> swapAt;
        std::vector<std::size_t> load;
        std::vector<Stream> streams;
        std::vector<FinishedSample> finished;
        std::map<SlotName, std::uint64_t> lengths;
        TimePoint committedAt;
        TimePoint fetchedAt;
        std::uint64_t commits { 0 };
        SequenceNumber after;
        std::map<StepNumber, std::vector<WeightVersion>> received;
        std::vector<std::uint64_t> lagsInUse;
        std::vector<std::uint64_t> lags;
        std::optional<TimePoint> trainingUntil;
        std::uint64_t trained { 0 };
        Duration idle { 0 };
    };

    /// One engine's order under way in the simulated rollout.
    struct RunningOrder {
        TimePoint end;
        OrderOutcome how { OrderOutcome::Done };
    };

} // namespace

SamplesResult simulateSamples(const SamplesWorkload& workload, PlannerRules rules, bool isFirstCome, std::uint64_t seed)
{
    return Simulation(workload, rules, isFirstCome, seed).run();
}

RolloutResult simulateRollout(const RolloutWorkload& workload, std::uint64_t seed)
{
    RolloutRules rules;
    rules.mode = workload.mode;
    Random random(seed);
    RolloutState state;
    std::vector<BackendName> names;
    for (std::size_t index = 0; index < workload.engines; ++index)
        names.emplace_back("e" + std::to_string(index));
    updateEngines(state, names, WeightVersion(2));
    std::map<BackendName, RunningOrder> running;
    std::map<BackendName, WeightVersion> versions;
    RolloutResult result;
    const TimePoint begun { 1h };
    TimePoint now = begun;
    double allowance = workload.fetchesPerSecond;
    while (!result.isWhole && now - begun < 10min) {
        allowance = std::min(workload.fetchesPerSecond,
            allowance + workload.fetchesPerSecond * std::chrono::duration<double>(tick).count());
        for (const auto& action : planRollout(state, rules, now, random)) {
            if (action.kind == RolloutActionKind::Read) {
                const auto place = versions.try_emplace(action.engine, WeightVersion(1)).first;
                handleVersionReport(state, action.engine, place->second, rules, now);
                continue;
            }
            if (allowance < 1) {
                running[action.engine] = { now + tick, OrderOutcome::Throttled };
                continue;
            }
            allowance -= 1;
            Duration takes = workload.loadTime;
            if (workload.mode == SwapMode::Finish)
                takes += std::chrono::duration_cast<Duration>(workload.finishTime * random.unit());
            const bool isFailed = random.unit() < workload.failedShare;
            running[action.engine] = { now + takes, isFailed ? OrderOutcome::Failed : OrderOutcome::Done };
        }
        result.mostAtOnce = std::max(result.mostAtOnce, running.size());
        for (auto place = running.begin(); place != running.end();) {
            if (place->second.end > now) {
                ++place;
                continue;
            }
            result.throttled += place->second.how == OrderOutcome::Throttled ? 1 : 0;
            result.failed += place->second.how == OrderOutcome::Failed ? 1 : 0;
            if (place->second.how == OrderOutcome::Done)
                versions[place->first] = WeightVersion(2);
            handleOrderOutcome(state, place->first, place->second.how, rules, now, random);
            place = running.erase(place);
        }
        result.isWhole = isRolledOut(state);
        now += tick;
    }
    result.seconds = std::chrono::duration<double>(now - begun).count();
    return result;
}

} // namespace topaztack::bench
