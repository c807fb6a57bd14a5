#include <topaztack/policy/fair_queue.hpp>

#include <algorithm>

namespace topaztack {

namespace {

    double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    double chargeFor(const FairQueue& queue, const WaitingRequest& request)
    {
        const auto factor = queue.costFactors.find(request.workspace);
        return toSeconds(request.work) * (factor == queue.costFactors.end() ? 1 : factor->second);
    }

    const WaitingRequest& firstOf(const FairQueue& queue, const FairQueue::Level& level, const WorkspaceName& workspace)
    {
        return queue.requests.at(level.flows.at(workspace).order.begin()->second);
    }

    /// Drops what the level knows of workspaces that have nothing left and are not ahead of the others.
    void forgetIdleFlows(FairQueue::Level& level)
    {
        std::erase_if(level.flows, [&level](const auto& each) {
            return each.second.order.empty() && (level.waiting.empty() || each.second.start <= level.virtualTime);
        });
    }

    void insert(FairQueue& queue, std::uint64_t number, const WaitingRequest& request)
    {
        auto& level = queue.levels[request.rank];
        const auto [place, isNew] = level.flows.try_emplace(request.workspace);
        auto& flow = place->second;
        // An idle workspace saves up nothing.
        if (flow.order.empty())
            flow.start = isNew ? level.virtualTime : std::max(flow.start, level.virtualTime);
        level.waiting.emplace(flow.start, request.workspace);
        flow.order.emplace(request.latestStart, number);
        flow.work += request.work;
        queue.byLatestStart.emplace(request.latestStart, number);
        queue.requests.emplace(number, request);
    }

    /// @return the request.
    WaitingRequest erase(FairQueue& queue, std::uint64_t number)
    {
        const auto found = queue.requests.find(number);
        auto request = std::move(found->second);
        queue.requests.erase(found);
        queue.byLatestStart.erase({ request.latestStart, number });
        auto& level = queue.levels.at(request.rank);
        auto& flow = level.flows.at(request.workspace);
        flow.order.erase({ request.latestStart, number });
        flow.work -= request.work;
        if (flow.order.empty())
            level.waiting.erase({ flow.start, request.workspace });
        return request;
    }

    void moveStart(FairQueue::Level& level, const WorkspaceName& workspace, double seconds)
    {
        auto& flow = level.flows.at(workspace);
        const bool isWaiting = level.waiting.erase({ flow.start, workspace }) > 0;
        flow.start += seconds;
        if (isWaiting)
            level.waiting.emplace(flow.start, workspace);
    }

} // namespace

std::uint64_t enqueue(FairQueue& queue, const WaitingRequest& request)
{
    const auto number = ++queue.lastNumber;
    insert(queue, number, request);
    return number;
}

std::optional<FairQueueEntry> takeNext(FairQueue& queue, const std::function<bool(const WaitingRequest&)>& maySend)
{
    for (auto& each : queue.levels) {
        auto& level = each.second;
        const auto chosen = std::find_if(level.waiting.begin(), level.waiting.end(),
            [&](const auto& flow) { return !maySend || maySend(firstOf(queue, level, flow.second)); });
        if (chosen == level.waiting.end())
            continue;
        const auto workspace = chosen->second;
        const auto number = level.flows.at(workspace).order.begin()->second;
        // Workspaces that were passed over keep their place: the virtual time is that of the first one.
        level.virtualTime = std::max(level.virtualTime, level.waiting.begin()->first);
        FairQueueEntry taken { number, erase(queue, number) };
        moveStart(level, workspace, chargeFor(queue, taken.request));
        if (level.flows.size() > 2 * level.waiting.size() + 1)
            forgetIdleFlows(level);
        return taken;
    }
    return std::nullopt;
}

std::vector<WaitingRequest> firstRequests(const FairQueue& queue)
{
    std::vector<WaitingRequest> requests;
    for (const auto& [rank, level] : queue.levels) {
        for (const auto& [start, workspace] : level.waiting)
            requests.push_back(firstOf(queue, level, workspace));
    }
    return requests;
}

void putBack(FairQueue& queue, const FairQueueEntry& entry)
{
    auto& level = queue.levels[entry.request.rank];
    if (level.flows.contains(entry.request.workspace))
        moveStart(level, entry.request.workspace, -chargeFor(queue, entry.request));
    insert(queue, entry.number, entry.request);
}

bool removeRequest(FairQueue& queue, std::uint64_t number)
{
    if (!queue.requests.contains(number))
        return false;
    erase(queue, number);
    return true;
}

std::vector<std::uint64_t> dropLate(FairQueue& queue, TimePoint now)
{
    std::vector<std::uint64_t> late;
    while (!queue.byLatestStart.empty() && queue.byLatestStart.begin()->first <= now) {
        late.push_back(queue.byLatestStart.begin()->second);
        erase(queue, late.back());
    }
    return late;
}

std::optional<TimePoint> nextLateAt(const FairQueue& queue)
{
    if (queue.byLatestStart.empty())
        return std::nullopt;
    return queue.byLatestStart.begin()->first;
}

std::optional<std::uint64_t> leastEntitled(const FairQueue& queue)
{
    for (auto place = queue.levels.rbegin(); place != queue.levels.rend(); ++place) {
        const FairQueue::Flow* largest = nullptr;
        for (const auto& [start, workspace] : place->second.waiting) {
            const auto& flow = place->second.flows.at(workspace);
            if (!largest || flow.work > largest->work)
                largest = &flow;
        }
        if (largest)
            return largest->order.rbegin()->second;
    }
    return std::nullopt;
}

Duration workAhead(
    const FairQueue& queue, const WaitingRequest& arriving, const std::function<bool(const WaitingRequest&)>& maySend)
{
    const auto ownWork = waitingWork(queue, arriving.rank, arriving.workspace);
    Duration ahead = ownWork;
    for (const auto& [rank, level] : queue.levels) {
        if (rank > arriving.rank)
            break;
        for (const auto& [start, workspace] : level.waiting) {
            const bool isOwn = rank == arriving.rank && workspace == arriving.workspace;
            if (isOwn || (maySend && !maySend(firstOf(queue, level, workspace))))
                continue;
            const auto work = level.flows.at(workspace).work;
            ahead += rank < arriving.rank ? work : std::min(work, ownWork + arriving.work);
        }
    }
    return ahead;
}

Duration waitingWork(const FairQueue& queue, std::uint64_t rank, const WorkspaceName& workspace)
{
    const auto level = queue.levels.find(rank);
    if (level == queue.levels.end())
        return {};
    const auto flow = level->second.flows.find(workspace);
    return flow == level->second.flows.end() ? Duration {} : flow->second.work;
}

double shareOf(const FairQueue& queue, std::uint64_t rank, const WorkspaceName& workspace)
{
    const auto level = queue.levels.find(rank);
    if (level == queue.levels.end())
        return 1;
    const auto flow = level->second.flows.find(workspace);
    const bool isWaiting = flow != level->second.flows.end() && !flow->second.order.empty();
    return 1.0 / static_cast<double>(level->second.waiting.size() + (isWaiting ? 0 : 1));
}

} // namespace topaztack
