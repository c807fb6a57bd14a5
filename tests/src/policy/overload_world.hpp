#pragma once

#include <topaztack/policy/admission.hpp>

#include <cmath>
#include <deque>
#include <functional>

/// @file
/// Many VMs before a few servers, in simulated time: each VM decides with the queue and admission modules, and callers
/// retry once. Servers have slots and a short queue and answer "full" beyond it.

namespace topaztack::test {

using namespace std::chrono_literals;

struct WorldOptions {
    std::size_t vms { 68 };
    std::size_t servers { 3 };
    std::size_t slots { 6 };
    std::size_t places { 24 };
    Duration serviceTime { 25ms };
    Duration objective { 150ms };
    Duration deadline { 800ms };
    Duration oneWay { 500us };
    bool retries { true };
    /// 0 for VMs that don't exchange demands.
    Duration exchangeInterval { 1s };
};

/// @brief What became of requests.
struct Outcome {
    std::size_t sent { 0 };
    std::size_t inTime { 0 };
    std::size_t late { 0 };
    std::size_t refused { 0 };

    /// Of the requests that ended.
    double inTimePart() const
    {
        const auto ended = this->inTime + this->late + this->refused;
        return ended == 0 ? 1 : static_cast<double>(this->inTime) / static_cast<double>(ended);
    }
};

class World {
public:
    explicit World(WorldOptions options, std::uint64_t seed = 1)
        : options(options)
        , random(seed)
        , vms(options.vms)
        , servers(options.servers)
    {
        for (auto& vm : this->vms)
            vm.at.resize(options.servers);
        if (options.exchangeInterval > 0s)
            this->schedule(this->start, [this] { this->exchange(); });
    }

    /// @brief Requests of a workspace at random times, `perSecond` of them in all, each at one of these VMs.
    void addLoad(const std::string& workspace, std::vector<std::size_t> at, double perSecond, Duration from,
        Duration until, std::uint64_t rank = 0)
    {
        this->ranks[WorkspaceName(workspace)] = rank;
        for (auto time = from + this->gap(perSecond); time < until; time += this->gap(perSecond)) {
            const auto vm = at[this->random.below(at.size())];
            this->schedule(this->start + time, [this, workspace, vm, rank] {
                this->arrive({ workspace, rank, vm, this->now, this->now, false });
            });
        }
    }

    /// @brief Servers that don't answer connections for a while.
    void takeAway(std::size_t server, Duration from, Duration until)
    {
        this->schedule(this->start + from, [this, server] { this->servers[server].isUp = false; });
        this->schedule(this->start + until, [this, server] {
            this->servers[server].isUp = true;
            this->pumpAll();
        });
    }

    void run(Duration until)
    {
        while (!this->events.empty() && this->events.begin()->first <= this->start + until) {
            auto event = this->events.extract(this->events.begin());
            this->now = event.key();
            event.mapped()();
        }
        this->now = this->start + until;
    }

    std::vector<std::size_t> everyVm() const
    {
        std::vector<std::size_t> all(this->vms.size());
        for (std::size_t index = 0; index < all.size(); ++index)
            all[index] = index;
        return all;
    }

    /// @brief Requests per second that the servers can complete.
    double capacity(std::size_t serverCount) const
    {
        return static_cast<double>(serverCount * this->options.slots)
            / std::chrono::duration<double>(this->options.serviceTime).count();
    }

    /// @brief Forgets what was counted so far.
    void resetCounts()
    {
        this->outcomes.clear();
        this->sends = 0;
        this->fulls = 0;
    }

    Outcome total() const
    {
        Outcome sum;
        for (const auto& [workspace, each] : this->outcomes) {
            sum.sent += each.sent;
            sum.inTime += each.inTime;
            sum.late += each.late;
            sum.refused += each.refused;
        }
        return sum;
    }

    std::map<std::string, Outcome> outcomes;
    std::size_t sends { 0 };
    std::size_t fulls { 0 };
    /// The lengths of all queues together.
    std::size_t waiting() const
    {
        std::size_t sum = 0;
        for (const auto& vm : this->vms)
            sum += vm.pool.waiting.requests.size();
        return sum;
    }

private:
    struct Call {
        std::string workspace;
        std::uint64_t rank { 0 };
        std::size_t vm { 0 };
        TimePoint firstSentAt;
        TimePoint sentAt;
        bool isRetry { false };
    };
    /// What a VM knows of a server.
    struct View {
        std::size_t outstanding { 0 };
        TimePoint pausedUntil;
        unsigned refusals { 0 };
    };
    struct Vm {
        PoolQueue pool;
        ServiceTime serviceTime;
        std::vector<View> at;
        std::map<std::uint64_t, Call> calls;
        TimePoint wakeAt { TimePoint::max() };
    };
    struct Server {
        bool isUp { true };
        std::size_t running { 0 };
        std::deque<std::function<void()>> queue;
    };

    Duration gap(double perSecond)
    {
        const auto seconds = -std::log(1 - this->random.unit()) / perSecond;
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    void schedule(TimePoint time, std::function<void()> action) { this->events.emplace(time, std::move(action)); }

    void arrive(const Call& call)
    {
        auto& vm = this->vms[call.vm];
        ++this->outcomes[call.workspace].sent;
        const auto work = expectedServiceTime(vm.serviceTime, this->options.objective);
        recordArrival(vm.pool, WorkspaceName(call.workspace), work, this->now);
        const WaitingRequest request { WorkspaceName(call.workspace), call.rank, work,
            latestStart(vm.serviceTime, this->options.objective, call.sentAt) };
        auto admission = decideAdmission(vm.pool, request, true, this->now, this->random);
        if (admission.verdict == AdmissionVerdict::Run) {
            if (const auto server = this->choose(vm)) {
                this->send(call, request, *server, 0);
                return;
            }
            admission = decideAdmission(vm.pool, request, false, this->now, this->random);
        }
        if (admission.verdict == AdmissionVerdict::Refuse) {
            this->refuse(call, admission.retryAfter);
            return;
        }
        if (admission.displaced)
            this->refuseWaiting(vm, *admission.displaced);
        vm.calls.emplace(enqueue(vm.pool.waiting, request), call);
        this->pump(call.vm);
    }

    std::optional<std::size_t> choose(const Vm& vm)
    {
        std::optional<std::size_t> best;
        const auto first = this->random.below(vm.at.size());
        for (std::size_t step = 0; step < vm.at.size(); ++step) {
            const auto index = (first + step) % vm.at.size();
            const auto& view = vm.at[index];
            const bool isFree = this->servers[index].isUp && this->now >= view.pausedUntil
                && view.outstanding < this->options.slots + 4;
            if (isFree && (!best || view.outstanding < vm.at[*best].outstanding))
                best = index;
        }
        return best;
    }

    void refuseWaiting(Vm& vm, std::uint64_t number)
    {
        const auto found = vm.calls.find(number);
        const auto call = found->second;
        const auto waiting = vm.pool.waiting.requests.find(number);
        WaitingRequest request;
        request.workspace = WorkspaceName(call.workspace);
        request.rank = call.rank;
        request.work = expectedServiceTime(vm.serviceTime, this->options.objective);
        if (waiting != vm.pool.waiting.requests.end())
            removeRequest(vm.pool.waiting, number);
        vm.calls.erase(found);
        this->refuse(call, topaztack::retryAfter(vm.pool, request, this->now, this->random));
    }

    void refuse(const Call& call, std::chrono::milliseconds retryAfter)
    {
        ++this->outcomes[call.workspace].refused;
        const auto comesBackAt = this->now + retryAfter;
        if (!this->options.retries || call.isRetry || comesBackAt > call.firstSentAt + this->options.deadline)
            return;
        this->schedule(comesBackAt, [this, call] {
            this->arrive({ call.workspace, call.rank, call.vm, call.firstSentAt, this->now, true });
        });
    }

    void send(const Call& call, const WaitingRequest& request, std::size_t server, std::uint64_t number)
    {
        auto& vm = this->vms[call.vm];
        ++this->sends;
        ++vm.at[server].outstanding;
        recordSend(vm.pool.limits[request.workspace], this->now);
        const auto sentAt = this->now;
        this->schedule(this->now + this->options.oneWay, [this, call, request, server, number, sentAt] {
            auto& each = this->servers[server];
            const auto answer = [this, call, server, sentAt] {
                this->schedule(this->now + this->options.oneWay,
                    [this, call, server, sentAt] { this->receive(call, server, sentAt); });
            };
            if (each.running < this->options.slots)
                this->serve(server, answer);
            else if (each.queue.size() < this->options.places)
                each.queue.push_back(answer);
            else
                this->schedule(this->now + this->options.oneWay,
                    [this, call, request, server, number] { this->receiveFull(call, request, server, number); });
        });
    }

    void serve(std::size_t server, const std::function<void()>& answer)
    {
        ++this->servers[server].running;
        const auto time
            = std::chrono::duration_cast<Duration>(this->options.serviceTime * (0.8 + 0.4 * this->random.unit()));
        this->schedule(this->now + time, [this, server, answer] {
            answer();
            auto& each = this->servers[server];
            --each.running;
            if (each.queue.empty())
                return;
            const auto next = std::move(each.queue.front());
            each.queue.pop_front();
            this->serve(server, next);
        });
    }

    void receive(const Call& call, std::size_t server, TimePoint sentAt)
    {
        auto& vm = this->vms[call.vm];
        --vm.at[server].outstanding;
        vm.at[server].refusals = 0;
        const bool isInTime = this->now - call.sentAt <= this->options.objective;
        ++(isInTime ? this->outcomes[call.workspace].inTime : this->outcomes[call.workspace].late);
        WaitingRequest request;
        request.workspace = WorkspaceName(call.workspace);
        request.rank = call.rank;
        request.work = expectedServiceTime(vm.serviceTime, this->options.objective);
        recordResult(vm.pool, request, SendOutcome::Answered, this->now - sentAt, this->options.objective, this->now);
        recordServiceTime(vm.serviceTime, this->now - sentAt);
        this->pump(call.vm);
    }

    void receiveFull(const Call& call, const WaitingRequest& request, std::size_t server, std::uint64_t number)
    {
        auto& vm = this->vms[call.vm];
        auto& view = vm.at[server];
        ++this->fulls;
        --view.outstanding;
        if (this->now >= view.pausedUntil)
            view.pausedUntil = this->now + 60ms * (1U << std::min(view.refusals++, 2U));
        recordResult(vm.pool, request, SendOutcome::Full, {}, this->options.objective, this->now);
        if (this->now > request.latestStart)
            this->refuse(call, topaztack::retryAfter(vm.pool, request, this->now, this->random));
        else if (number == 0)
            vm.calls.emplace(enqueue(vm.pool.waiting, request), call);
        else {
            putBack(vm.pool.waiting, { number, request });
            vm.calls.emplace(number, call);
        }
        this->pump(call.vm);
    }

    /// What VMs with a limit tell each other: the demand of each workspace at all of them.
    void exchange()
    {
        std::map<WorkspaceName, TotalUse> totals;
        for (const auto& vm : this->vms) {
            if (!lacksRoom(vm.pool, this->now))
                continue;
            for (const auto& [workspace, demand] : vm.pool.demands) {
                totals[workspace].demand += drainPerSecond(demand.arrived, this->now);
                totals[workspace].served += drainPerSecond(demand.served, this->now);
                totals[workspace].rank = this->ranks[workspace];
            }
        }
        setLevels(totals);
        for (auto& vm : this->vms) {
            for (const auto& [workspace, total] : totals) {
                if (lacksRoom(vm.pool, this->now))
                    applyTotalUse(vm.pool, workspace, total, this->now);
            }
            expire(vm.pool, this->now);
        }
        this->schedule(this->now + this->options.exchangeInterval, [this] { this->exchange(); });
    }

    void pumpAll()
    {
        for (std::size_t index = 0; index < this->vms.size(); ++index)
            this->pump(index);
    }

    void pump(std::size_t index)
    {
        auto& vm = this->vms[index];
        for (const auto number : dropLate(vm.pool.waiting, this->now))
            this->refuseWaiting(vm, number);
        auto wakeAt = TimePoint::max();
        while (!vm.pool.waiting.requests.empty()) {
            const auto server = this->choose(vm);
            if (!server) {
                wakeAt = this->now + 5ms;
                break;
            }
            const auto next = takeNext(vm.pool.waiting,
                [&](const WaitingRequest& request) { return nextSendAt(vm.pool, request, this->now) <= this->now; });
            if (!next) {
                wakeAt = nextEventAt(vm.pool, this->now);
                break;
            }
            const auto call = vm.calls.at(next->number);
            vm.calls.erase(next->number);
            this->send(call, next->request, *server, next->number);
        }
        if (vm.pool.waiting.requests.empty())
            return;
        wakeAt = std::min(wakeAt, *nextLateAt(vm.pool.waiting));
        if (vm.wakeAt > this->now && vm.wakeAt <= wakeAt)
            return;
        vm.wakeAt = wakeAt;
        this->schedule(wakeAt, [this, index] { this->pump(index); });
    }

    const WorldOptions options;
    Random random;
    std::vector<Vm> vms;
    std::vector<Server> servers;
    std::map<WorkspaceName, std::uint64_t> ranks;
    std::multimap<TimePoint, std::function<void()>> events;
    const TimePoint start { 1h };
    TimePoint now { 1h };
};

} // namespace topaztack::test
