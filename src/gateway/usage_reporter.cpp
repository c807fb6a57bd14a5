#include "usage_reporter.hpp"

#include "notifier.hpp"

#include <topaztack/base/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <set>

namespace topaztack {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

    constexpr std::string_view reportsTable = "usage-reports";
    constexpr std::size_t keyDigits = 12;
    constexpr Duration stepInterval = 100ms;
    /// Of the platform's rate, the part that reports may use; the rest is for orders.
    constexpr double maxRateFraction = 0.5;
    /// Requests are counted when they are answered, and their windows are those in which they began; VMs take a moment
    /// to exchange counts. A VM that takes the lease over can still report in time.
    constexpr std::chrono::milliseconds settleTime = 4s;
    /// A report is not sent any more in this time before it is due: it could arrive late.
    constexpr std::chrono::milliseconds dueMargin = 300ms;
    /// Counts that are stated this long after the end of a window are complete.
    constexpr std::chrono::milliseconds completeAfter = 1500ms;
    constexpr std::size_t maxQueries = 16;
    constexpr Duration probeTimeout = 200ms;
    /// A VM of which no VM has heard for this long before a window is taken to have ended, if no more than one VM in
    /// `vmsPerSilentOne` is silent. Where more are silent a data centre may be cut off, whose VMs go on serving.
    constexpr std::chrono::milliseconds silenceBeforeWindow = 3s;
    constexpr std::size_t vmsPerSilentOne = 10;
    constexpr Duration minBackoff = 200ms;
    constexpr unsigned maxDoublings = 3;
    /// A holder that can't connect to the platform for this long gives the lease up: another VM may reach it.
    constexpr Duration maxUnreachedTime = 4s;
    constexpr Duration yieldTime = 20s;
    /// Reports that are kept in the store, for a holder that resumes after a while.
    constexpr std::uint64_t keptReports = 60;
    constexpr std::size_t maxRemovals = 20;

    std::string_view responseName(DutyResponse response)
    {
        static constexpr std::array<std::string_view, 5> names { "accepted", "unavailable", "limited", "refused",
            "unknown" };
        return names.at(static_cast<std::size_t>(response));
    }

    std::string keyOf(std::uint64_t window)
    {
        auto digits = std::to_string(window);
        return std::string(keyDigits - std::min(keyDigits, digits.size()), '0') + digits;
    }

    StoreRowKey rowKeyOf(std::uint64_t window) { return { std::string(reportsTable), "", keyOf(window) }; }

    StoreRange allReports()
    {
        StoreRange range;
        range.table = reportsTable;
        return range;
    }

    Duration sendInterval(const DutySettings& duties)
    {
        const std::chrono::duration<double> interval(1 / (duties.callsPerSecond * maxRateFraction));
        return std::max(stepInterval, std::chrono::duration_cast<Duration>(interval));
    }

    std::chrono::milliseconds dueTime(std::uint64_t window, const DutySettings& duties)
    {
        return windowStart(window + 1, duties.window) + toMilliseconds(duties.reportDue);
    }

} // namespace

/// What VMs answered about one window.
struct UsageReporter::Collection {
    Collection(asio::io_context& loop, std::uint64_t window)
        : window(window)
        , changed(loop)
    {
    }

    struct Query {
        PeerRecord peer;
        /// Processes whose kept counts are wanted.
        std::vector<VmIdentity> origins;
    };

    const std::uint64_t window;
    std::vector<Query> queries;
    std::size_t next { 0 };
    std::size_t running { 0 };
    Notifier changed;

    std::vector<PeerRecord> asked;
    /// VMs that did not answer, and whether their process is known to have ended.
    std::map<VmName, bool> unanswered;
    std::map<VmIdentity, UsageCounts> counts;
    /// Processes that did not answer themselves, by what other VMs know of them.
    std::map<VmIdentity, std::chrono::milliseconds> through;
    std::map<VmIdentity, std::vector<VmName>> keepers;
    std::optional<std::chrono::milliseconds> countedSince;
    std::uint64_t unassigned { 0 };
    /// Estimates of what is missing.
    std::vector<UsageCounts> missing;
    /// VMs of whose use nothing is known, not even in an earlier window.
    std::size_t unknownVms { 0 };

    bool hasAnswered(const VmIdentity& vm) const { return this->answered.contains(vm); }
    void add(const UsageAnswer& answer);

    std::set<VmIdentity> answered;
};

void UsageReporter::Collection::add(const UsageAnswer& answer)
{
    this->answered.insert(answer.vm);
    this->unanswered.erase(answer.vm.name);
    mergeCounts(this->counts[answer.vm], answer.counts);
    if (answer.since)
        this->countedSince = this->countedSince ? std::min(*this->countedSince, *answer.since) : *answer.since;
    this->unassigned += answer.unassigned;
    for (const auto& kept : answer.kept) {
        auto& through = this->through[kept.origin];
        through = std::max(through, kept.through);
        if (kept.hasCounts)
            this->keepers[kept.origin].push_back(answer.vm.name);
    }
}

UsageReporter::UsageReporter(
    GatewayContext& context, const PeerDirectory& peers, UsageCounter& counter, DutyLease& lease)
    : context(context)
    , peers(peers)
    , counter(counter)
    , lease(lease)
    , sent(context.metrics.counter("topaztack_usage_reports_total", "Reports of use that the platform accepted"))
    , missed(context.metrics.counter("topaztack_usage_reports_missed_total", "Reports of use that were given up"))
    , retries(context.metrics.counter(
          "topaztack_usage_report_failures_total", "Attempts at reports of use that the platform did not accept"))
    , reportAge(context.metrics.latency(
          "topaztack_usage_report_age_seconds", "Time from the end of a window until its report was accepted"))
{
}

void UsageReporter::start()
{
    if (this->context.settings.duties.reportsUsage)
        asio::co_spawn(this->context.loop(), this->run(), asio::detached);
}

asio::awaitable<void> UsageReporter::run()
{
    while (true) {
        co_await pauseFor(stepInterval);
        const auto fence = this->lease.fencingNumber();
        const auto now = this->counter.trueTime();
        if (!fence || !now || Clock::now() < (this->progress ? this->progress->retryAt : TimePoint {}))
            continue;
        if (!this->progress || this->progress->fence != *fence)
            co_await this->takeOver(*fence, *now);
        else
            co_await this->step(*now);
    }
}

/// Continues from the reports that the store has: those may have been sent, and are sent again as they are.
asio::awaitable<void> UsageReporter::takeOver(FencingNumber fence, std::chrono::milliseconds now)
{
    const auto rows = co_await this->context.store.read(allReports());
    if (!rows)
        co_return;
    const auto& duties = this->context.settings.duties;
    Progress begun;
    begun.fence = fence;
    // The oldest window that can still be reported in time.
    begun.next = windowAt(now + dueMargin - toMilliseconds(duties.reportDue), duties.window);
    for (const auto& row : rows.value().rows) {
        const auto counts = parseUsageCounts(row.value);
        if (counts)
            begun.fixed[std::stoull(row.place.key)] = *counts;
        else
            logEvent(LogLevel::Error, "usage-report-row-invalid", { { "key", row.place.key } });
    }
    logEvent(LogLevel::Info, "usage-reports-taken-over",
        { { "fence", std::to_string(fence.value()) }, { "next", std::to_string(begun.next) },
            { "fixed", std::to_string(begun.fixed.size()) } });
    // A report that this process knows to be accepted is not sent again.
    if (this->progress)
        begun.next = std::max(begun.next, this->progress->next);
    this->progress = std::move(begun);
}

asio::awaitable<void> UsageReporter::step(std::chrono::milliseconds now)
{
    const auto& duties = this->context.settings.duties;
    const auto window = this->progress->next;
    if (now < windowStart(window + 1, duties.window) + settleTime)
        co_return;
    if (now >= dueTime(window, duties) - dueMargin) {
        this->recordMissed(window, "due");
        this->finishWindow();
        co_return;
    }
    if (!this->progress->fixed.contains(window)) {
        const bool isFixed = co_await this->fixNext(now);
        if (!isFixed)
            co_return;
    }
    co_await this->send(window);
}

/// Collects the counts of the next window and fixes its report in the store.
/// @return whether the report is fixed.
asio::awaitable<bool> UsageReporter::fixNext(std::chrono::milliseconds now)
{
    const auto window = this->progress->next;
    const auto collection = co_await this->collect(window);
    const auto& duties = this->context.settings.duties;
    if (!collection->countedSince || *collection->countedSince > windowStart(window, duties.window)) {
        // The counts of a VM that ended before are lost, or callers were served by other software.
        if (collection->unanswered.empty()) {
            logEvent(LogLevel::Info, "usage-window-not-covered", { { "window", std::to_string(window) } });
            this->finishWindow();
        } else {
            this->backOff("no VM that answered counted during the whole window");
        }
        co_return false;
    }
    const auto counts = sumUsage(collection->counts);
    const auto maxUnknownVms = duties.tolerance * static_cast<double>(collection->asked.size() + 1);
    const bool areTooManyUnknown = static_cast<double>(collection->unknownVms) > maxUnknownVms;
    if (areTooManyUnknown || mayExceedTolerance(counts, collection->missing, duties.tolerance)) {
        this->backOff("counts of " + std::to_string(collection->missing.size()) + " VMs are missing");
        logEvent(LogLevel::Info, "usage-counts-missing",
            { { "window", std::to_string(window) }, { "total", std::to_string(totalOf(counts)) },
                { "asked", std::to_string(collection->asked.size()) },
                { "missing", std::to_string(collection->missing.size()) },
                { "due_in_ms", std::to_string((dueTime(window, duties) - now).count()) } });
        co_return false;
    }
    this->lastAsked = collection->asked.size();
    this->lastMissing = collection->unanswered.size();
    this->lastCounts.clear();
    for (const auto& [vm, each] : collection->counts)
        mergeCounts(this->lastCounts[vm.name], each);
    const bool isFixed = co_await this->fix(window, counts);
    co_return isFixed;
}

asio::awaitable<std::shared_ptr<UsageReporter::Collection>> UsageReporter::collect(std::uint64_t window)
{
    const auto collection = std::make_shared<Collection>(this->context.loop(), window);
    collection->add(this->counter.describe(window, {}));
    for (const auto& [name, record] : this->peers.known()) {
        collection->asked.push_back(record);
        collection->unanswered[name] = false;
        collection->queries.push_back({ record, {} });
    }
    co_await this->askVms(collection);
    co_await this->askKeepers(collection);
    this->assess(*collection);
    co_return collection;
}

asio::awaitable<void> UsageReporter::askVms(std::shared_ptr<Collection> collection)
{
    collection->next = 0;
    const auto work
        = [](HttpClient& client, UsageCounter& counter, std::shared_ptr<Collection> shared) -> asio::awaitable<void> {
        while (shared->next < shared->queries.size()) {
            const auto query = shared->queries[shared->next++];
            auto answered = co_await counter.query(query.peer.endpoint, shared->window, query.origins);
            if (answered) {
                if (query.origins.empty())
                    shared->add(answered.value());
                for (const auto& [origin, counts] : answered.value().keptCounts)
                    mergeCounts(shared->counts[origin], counts);
            } else if (query.origins.empty()) {
                // A VM that doesn't answer may be cut off and go on serving; one that refuses connections has ended.
                auto probe = ProbeResult::Unknown;
                if (answered.error().progress == AttemptProgress::NothingWritten)
                    probe = co_await client.probe(
                        query.peer.endpoint, Clock::now() + probeTimeout, ProbeMode::NewConnection);
                shared->unanswered[query.peer.vm.name] = probe == ProbeResult::Refused;
            }
        }
        --shared->running;
        shared->changed.notify();
    };
    const auto workers = std::min(maxQueries, collection->queries.size());
    collection->running = workers;
    for (std::size_t worker = 0; worker < workers; ++worker)
        asio::co_spawn(this->context.loop(), work(this->context.httpClient, this->counter, collection), asio::detached);
    while (collection->running > 0)
        co_await collection->changed.waitUntil(Clock::now() + 1s);
}

/// Asks for the counts of processes that did not answer themselves.
asio::awaitable<void> UsageReporter::askKeepers(std::shared_ptr<Collection> collection)
{
    std::map<VmName, std::vector<VmIdentity>> wanted;
    for (const auto& [origin, keepers] : collection->keepers) {
        if (collection->hasAnswered(origin))
            continue;
        for (const auto& keeper : keepers)
            wanted[keeper].push_back(origin);
    }
    collection->queries.clear();
    for (const auto& [keeper, origins] : wanted) {
        if (keeper == this->context.identity.name) {
            for (const auto& [origin, counts] : this->counter.describe(collection->window, origins).keptCounts)
                mergeCounts(collection->counts[origin], counts);
            continue;
        }
        const auto known = this->peers.known().find(keeper);
        if (known != this->peers.known().end())
            collection->queries.push_back({ known->second, origins });
    }
    co_await this->askVms(collection);
}

/// Estimates what the VMs counted that did not answer, by the last window that was collected, unless other VMs have
/// their complete counts.
void UsageReporter::assess(Collection& collection) const
{
    const auto& duties = this->context.settings.duties;
    const auto end = windowStart(collection.window + 1, duties.window);
    const auto sum = sumUsage(collection.counts);
    const auto silentBefore = windowStart(collection.window, duties.window) - silenceBeforeWindow;
    const bool areFewSilent = collection.unanswered.size() * vmsPerSilentOne <= collection.asked.size() + 1;
    for (const auto& [name, hasEnded] : collection.unanswered) {
        const auto record = this->peers.known().find(name);
        if (record == this->peers.known().end())
            continue;
        const auto& vm = record->second.vm;
        const auto through = collection.through.find(vm);
        const bool isHeardOf = through != collection.through.end();
        const bool isComplete = isHeardOf && through->second >= end + completeAfter;
        const bool isSilent = !isHeardOf || through->second < silentBefore;
        // A VM that has ended sent its counts until shortly before.
        if (isComplete || (hasEnded && isHeardOf) || (isSilent && areFewSilent))
            continue;
        const auto last = this->lastCounts.find(name);
        if (last != this->lastCounts.end()) {
            collection.missing.push_back(last->second);
            continue;
        }
        ++collection.unknownVms;
        UsageCounts average;
        for (const auto& [workspace, count] : sum)
            average[workspace] = count / std::max<std::size_t>(1, collection.answered.size());
        collection.missing.push_back(std::move(average));
    }
    if (collection.unassigned > 0) {
        // It is unknown to which workspace and window they belong.
        UsageCounts unassigned;
        for (const auto& [workspace, count] : sum)
            unassigned[workspace] = collection.unassigned;
        collection.missing.push_back(std::move(unassigned));
    }
}

/// Writes a report on the condition that there is none. If another holder, or an earlier write whose answer was lost,
/// came first, its report counts.
asio::awaitable<bool> UsageReporter::fix(std::uint64_t window, UsageCounts counts)
{
    StoreTransaction transaction;
    transaction.conditions.push_back({ rowKeyOf(window), RowVersion(0) });
    transaction.writes.push_back({ rowKeyOf(window), toText(counts) });
    std::vector<std::uint64_t> removed;
    for (const auto& [old, report] : this->progress->fixed) {
        if (old + keptReports >= window || removed.size() == maxRemovals)
            break;
        transaction.writes.push_back({ rowKeyOf(old), std::nullopt });
        removed.push_back(old);
    }
    const auto committed = co_await this->context.store.commit(std::move(transaction));
    if (!committed) {
        this->backOff("store: " + committed.error().message);
        co_return false;
    }
    if (committed.value().isCommitted) {
        for (const auto old : removed)
            this->progress->fixed.erase(old);
        this->progress->fixed[window] = std::move(counts);
        co_return true;
    }
    for (const auto& row : committed.value().conflicts) {
        if (row.place != rowKeyOf(window))
            continue;
        const auto standing = parseUsageCounts(row.value);
        if (!standing) {
            this->backOff("the store's report is malformed");
            co_return false;
        }
        this->progress->fixed[window] = *standing;
        co_return true;
    }
    this->backOff("the store states neither a commit nor a conflict");
    co_return false;
}

asio::awaitable<void> UsageReporter::send(std::uint64_t window)
{
    const auto& duties = this->context.settings.duties;
    UsageReport report;
    report.window = window;
    report.counts = this->progress->fixed.at(window);
    const auto fence = this->lease.fencingNumber();
    if (!fence || *fence != this->progress->fence)
        co_return;
    // A call that is not answered in time is abandoned and its connection reset, so that it doesn't arrive later.
    auto request = this->context.protocol.encodeUsageReport(report, this->context.identity.name, *fence);
    const auto answered
        = co_await this->context.httpClient.call(duties.address, std::move(request), Clock::now() + dutyCallTimeout);
    const auto response = answered ? this->context.protocol.decodeDutyAnswer(answered.value()) : DutyResponse::Unknown;
    const auto now = this->counter.trueTime();
    const auto age = now ? *now - windowStart(window + 1, duties.window) : 0ms;
    if (response == DutyResponse::Accepted) {
        this->sent.add();
        ++this->sentReports;
        this->reportAge.record(age);
        logEvent(LogLevel::Info, "usage-report-sent",
            { { "window", std::to_string(window) }, { "total", std::to_string(totalOf(report.counts)) },
                { "workspaces", std::to_string(report.counts.size()) }, { "asked", std::to_string(this->lastAsked) },
                { "missing", std::to_string(this->lastMissing) }, { "age_ms", std::to_string(age.count()) },
                { "fence", std::to_string(fence->value()) },
                { "attempts", std::to_string(this->progress->failures + 1) } });
        this->progress->unreachedSince.reset();
        this->finishWindow();
        this->progress->retryAt = Clock::now() + sendInterval(duties);
        co_return;
    }
    this->retries.add();
    if (response == DutyResponse::Refused) {
        this->recordMissed(window, "refused");
        this->finishWindow();
        co_return;
    }
    const bool isUnreached = !answered && answered.error().progress == AttemptProgress::NothingWritten;
    auto& since = this->progress->unreachedSince;
    if (!isUnreached)
        since.reset();
    else if (!since)
        since = Clock::now();
    this->backOff(answered ? "platform: " + std::string(responseName(response)) : answered.error().error.message);
    if (since && Clock::now() - *since >= maxUnreachedTime) {
        logEvent(LogLevel::Warning, "platform-unreached", { { "address", toText(duties.address) } });
        since.reset();
        this->lease.yieldFor(yieldTime);
    }
}

void UsageReporter::backOff(std::string problem)
{
    auto& state = *this->progress;
    const auto bound = std::max(
        minBackoff * (1 << std::min(state.failures, maxDoublings)), sendInterval(this->context.settings.duties));
    const auto jitter = std::chrono::milliseconds(this->context.random.below(100));
    state.retryAt = Clock::now() + bound + jitter;
    ++state.failures;
    state.lastProblem = std::move(problem);
}

void UsageReporter::finishWindow()
{
    auto& state = *this->progress;
    ++state.next;
    state.failures = 0;
    state.lastProblem.clear();
}

void UsageReporter::recordMissed(std::uint64_t window, std::string_view reason)
{
    this->missed.add();
    ++this->missedReports;
    logEvent(LogLevel::Warning, "usage-report-missed",
        { { "window", std::to_string(window) }, { "reason", std::string(reason) },
            { "fixed", this->progress->fixed.contains(window) ? "1" : "0" },
            { "attempts", std::to_string(this->progress->failures) }, { "problem", this->progress->lastProblem },
            { "fence", std::to_string(this->progress->fence.value()) } });
}

json::value UsageReporter::dump() const
{
    json::object dump { { "sent", this->sentReports }, { "missed", this->missedReports }, { "asked", this->lastAsked },
        { "missing", this->lastMissing } };
    if (this->progress) {
        dump["next"] = this->progress->next;
        dump["failures"] = this->progress->failures;
        dump["problem"] = this->progress->lastProblem;
    }
    return dump;
}

} // namespace topaztack
