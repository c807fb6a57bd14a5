#include "requests_simulation.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <list>
#include <queue>
#include <unordered_map>

namespace topaztack::bench {

using namespace std::chrono_literals;

namespace {

    constexpr auto reportInterval = 1s;
    constexpr auto eventLag = 1s;
    constexpr double lostEvents = 0.1;
    constexpr auto pumpInterval = 100ms;
    constexpr auto blockTime = 2ms;
    constexpr std::uint64_t unlimited = 1'000'000;

    struct Job {
        std::size_t vm { 0 };
        RequestClass requestClass { RequestClass::Rollout };
        TimePoint arrived;
        TimePoint deadline;
        TimePoint started;
        Duration work {};
        std::vector<std::uint64_t> blocks;
    };

    /// Blocks in order of use; the one used longest ago is evicted.
    class BlockCache {
    public:
        std::size_t hits(const std::vector<std::uint64_t>& blocks) const
        {
            std::size_t count = 0;
            while (count < blocks.size() && this->places.contains(blocks[count]))
                ++count;
            return count;
        }

        /// @return blocks evicted.
        std::vector<std::uint64_t> use(const std::vector<std::uint64_t>& blocks, std::size_t most)
        {
            std::vector<std::uint64_t> evicted;
            for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
                const auto known = this->places.find(*block);
                if (known != this->places.end())
                    this->order.erase(known->second);
                this->order.push_front(*block);
                this->places[*block] = this->order.begin();
            }
            while (this->order.size() > most) {
                evicted.push_back(this->order.back());
                this->places.erase(this->order.back());
                this->order.pop_back();
            }
            return evicted;
        }

    private:
        std::list<std::uint64_t> order;
        std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
    };

    struct Server {
        std::deque<std::uint64_t> queue;
        std::uint32_t running { 0 };
        BlockCache cache;
    };

    enum class EventKind : std::uint8_t {
        Arrival,
        Done,
        Report,
        CacheEvent,
        Pump,
    };

    struct Event {
        TimePoint at;
        EventKind kind { EventKind::Arrival };
        RequestClass requestClass { RequestClass::Rollout };
        std::uint64_t job { 0 };
        std::size_t server { 0 };
        std::vector<std::uint64_t> stored;
        std::vector<std::uint64_t> evicted;
        LoadReport report;

        bool operator<(const Event& other) const { return this->at > other.at; }
    };

    class Simulation {
    public:
        explicit Simulation(const SimulationOptions& options)
            : options(options)
            , random(options.seed)
            , servers(options.servers)
            , vms(options.vms)
        {
            for (std::size_t vm = 0; vm < this->vms.size(); ++vm)
                this->prepare(vm);
        }

        SimulationResult run()
        {
            this->schedule({ this->now, EventKind::Pump });
            this->schedule({ this->now, EventKind::Report });
            this->scheduleArrival(RequestClass::Booking);
            this->scheduleArrival(RequestClass::Rollout);
            const auto end = this->begin + this->options.duration;
            while (!this->events.empty() && this->events.top().at < end) {
                const auto event = this->events.top();
                this->events.pop();
                this->now = event.at;
                this->handle(event);
            }
            this->result.measuredSeconds = std::chrono::duration<double>(this->options.duration).count() * 5 / 6;
            return std::move(this->result);
        }

    private:
        std::uint64_t limit() const
        {
            return this->options.sharing == SharingRule::None ? unlimited : this->options.slots;
        }

        void prepare(std::size_t vm)
        {
            std::vector<SlotHolder> holders;
            for (std::size_t other = 0; other < this->vms.size(); ++other)
                holders.push_back({ VmName("vm-" + std::to_string(other)), DataCentre("dc"), false });
            std::vector<SharedBackend> shared;
            for (std::size_t index = 0; index < this->servers.size(); ++index)
                shared.push_back({ BackendName("b-" + std::to_string(index)), DataCentre("dc") });
            const auto shares = slotShares(shared, this->options.slots, holders[vm], holders);
            std::vector<ServerState> states(this->servers.size());
            for (std::size_t index = 0; index < states.size(); ++index) {
                auto& state = states[index];
                state.name = shared[index].name;
                state.isLocal = true;
                const bool isShared
                    = this->options.sharing == SharingRule::Equal || this->options.sharing == SharingRule::EqualAndLent;
                state.share = isShared ? shares[index] : SlotShare { static_cast<std::uint32_t>(this->limit()), 1 };
            }
            auto& pool = this->vms[vm];
            pool.table.rule = this->options.rule;
            pool.queueLimit = this->options.queueLimit;
            replaceServers(pool, std::move(states), this->limit());
        }

        bool isCounted(const Job& job) const { return job.arrived >= this->begin + this->options.duration / 6; }

        void schedule(Event event) { this->events.push(std::move(event)); }

        void scheduleArrival(RequestClass requestClass)
        {
            const auto rate = requestClass == RequestClass::Booking ? this->options.bookingsPerSecond
                                                                    : this->options.rolloutsPerSecond;
            if (rate <= 0)
                return;
            Event event { this->now + this->exponential(1 / rate), EventKind::Arrival };
            event.requestClass = requestClass;
            this->schedule(std::move(event));
        }

        Duration exponential(double meanSeconds)
        {
            const std::chrono::duration<double> time(-meanSeconds * std::log(1 - this->random.unit()));
            return std::chrono::duration_cast<Duration>(time);
        }

        std::size_t drawVm()
        {
            if (this->options.firstVmShare > 0 && this->random.unit() < this->options.firstVmShare)
                return 0;
            return this->random.below(this->vms.size());
        }

        void handle(const Event& event)
        {
            switch (event.kind) {
            case EventKind::Arrival:
                this->scheduleArrival(event.requestClass);
                this->arrive(event.requestClass);
                break;
            case EventKind::Done:
                this->finish(event);
                break;
            case EventKind::Report:
                this->sendReports();
                break;
            case EventKind::CacheEvent:
                this->learn(event);
                break;
            case EventKind::Pump:
                for (std::size_t vm = 0; vm < this->vms.size(); ++vm)
                    this->pumpVm(vm);
                this->schedule({ this->now + pumpInterval, EventKind::Pump });
                break;
            }
        }

        void arrive(RequestClass requestClass)
        {
            Job job;
            job.vm = this->drawVm();
            job.requestClass = requestClass;
            job.arrived = this->now;
            job.deadline = this->now + this->options.deadline;
            const bool isBooking = requestClass == RequestClass::Booking;
            const auto mean = isBooking ? this->options.bookingTime : this->options.rolloutTime;
            job.work = this->exponential(std::chrono::duration<double>(mean).count());
            if (!isBooking && this->options.prefixFamilies > 0)
                this->drawPrefix(job);
            if (this->isCounted(job))
                ++(isBooking ? this->result.bookings : this->result.rollouts);
            const auto id = ++this->lastJob;
            AdmissionRequest ask;
            ask.request.id = id;
            ask.request.requestClass = requestClass;
            ask.request.deadline = job.deadline;
            ask.blocks = job.blocks;
            const auto vm = job.vm;
            this->jobs.emplace(id, std::move(job));
            const auto admission = admit(this->vms[vm], std::move(ask), this->now, this->random);
            if (admission.displaced)
                this->refuse(*admission.displaced);
            if (admission.kind == AdmissionKind::Granted)
                this->send(id, admission.server);
            else if (admission.kind != AdmissionKind::Queued)
                this->refuse(id);
        }

        /// A few families are asked for far more often than the rest.
        void drawPrefix(Job& job)
        {
            const auto skewed = this->random.unit() * this->random.unit();
            const auto family = static_cast<std::uint64_t>(skewed * static_cast<double>(this->options.prefixFamilies));
            for (std::size_t block = 0; block < this->options.blocksOfPrefix; ++block)
                job.blocks.push_back((family << 16) + block + 1);
        }

        void refuse(std::uint64_t id)
        {
            if (this->isCounted(this->jobs.at(id)))
                ++this->result.refused;
            this->jobs.erase(id);
        }

        void send(std::uint64_t id, std::size_t server)
        {
            auto& target = this->servers[server];
            target.queue.push_back(id);
            this->result.mostAtServer = std::max(this->result.mostAtServer, target.queue.size() + target.running);
            this->startJobs(server);
        }

        void startJobs(std::size_t server)
        {
            auto& target = this->servers[server];
            while (target.running < this->options.slots && !target.queue.empty()) {
                const auto id = target.queue.front();
                target.queue.pop_front();
                ++target.running;
                auto& job = this->jobs.at(id);
                job.started = this->now;
                const auto hits = target.cache.hits(job.blocks);
                if (this->isCounted(job)) {
                    this->result.blocksAsked += job.blocks.size();
                    this->result.blocksHit += hits;
                }
                this->noteUse(server, job, target.cache.use(job.blocks, this->options.cachedBlocks));
                Event done { this->now + job.work + blockTime * (job.blocks.size() - hits), EventKind::Done };
                done.job = id;
                done.server = server;
                this->schedule(std::move(done));
            }
        }

        void noteUse(std::size_t server, const Job& job, std::vector<std::uint64_t> evicted)
        {
            if (job.blocks.empty())
                return;
            Event event { this->now, EventKind::CacheEvent };
            event.server = server;
            event.stored = job.blocks;
            event.evicted = std::move(evicted);
            if (this->options.knowledge == PrefixKnowledge::Oracle) {
                this->learn(event);
            } else if (this->random.unit() >= lostEvents) {
                event.at = this->now + eventLag;
                this->schedule(std::move(event));
            }
        }

        void learn(const Event& event)
        {
            for (auto& vm : this->vms) {
                for (const auto block : event.stored)
                    recordStored(vm.table.prefixes, block, static_cast<ServerIndex>(event.server));
                for (const auto block : event.evicted)
                    recordEvicted(vm.table.prefixes, block, static_cast<ServerIndex>(event.server));
            }
        }

        void finish(const Event& event)
        {
            const auto job = this->jobs.at(event.job);
            this->jobs.erase(event.job);
            --this->servers[event.server].running;
            this->startJobs(event.server);
            const bool isInTime = this->now <= job.deadline;
            const bool isBooking = job.requestClass == RequestClass::Booking;
            if (this->isCounted(job)) {
                if (isBooking)
                    this->result.bookingSeconds.push_back(
                        std::chrono::duration<double>(this->now - job.arrived).count());
                if (isInTime)
                    ++(isBooking ? this->result.bookingsInTime : this->result.rolloutsInTime);
                else
                    ++this->result.late;
            }
            auto& pool = this->vms[job.vm];
            const auto took = std::chrono::duration_cast<std::chrono::microseconds>(this->now - job.started);
            const AttemptReport report { HealthSignal::Answered, took };
            release(pool, pool.table.servers[event.server].name, job.requestClass, report, this->now, this->random);
            this->pumpVm(job.vm);
        }

        void pumpVm(std::size_t vm)
        {
            for (const auto& grant : dispatchWaiting(this->vms[vm], this->now, this->random)) {
                if (grant.server)
                    this->send(grant.id, *grant.server);
                else
                    this->refuse(grant.id);
            }
        }

        /// Reports that were true half a second ago reach all VMs.
        void sendReports()
        {
            const auto age = 500ms;
            for (std::size_t index = 0; index < this->servers.size(); ++index) {
                auto& server = this->servers[index];
                auto report = this->lastReports[index];
                this->lastReports[index]
                    = { server.running, static_cast<std::uint32_t>(server.queue.size()), this->now, true };
                report.at = this->now - age;
                if (this->options.sharing != SharingRule::EqualAndLent)
                    continue;
                for (auto& vm : this->vms)
                    onLoadReport(vm, vm.table.servers[index].name, report);
            }
            this->schedule({ this->now + reportInterval, EventKind::Report });
        }

        SimulationOptions options;
        Random random;
        std::vector<Server> servers;
        std::vector<PoolScheduler> vms;
        std::unordered_map<std::size_t, LoadReport> lastReports;
        std::unordered_map<std::uint64_t, Job> jobs;
        std::priority_queue<Event> events;
        std::uint64_t lastJob { 0 };
        TimePoint begin { 1h };
        TimePoint now { 1h };
        SimulationResult result;
    };

} // namespace

SimulationResult simulate(const SimulationOptions& options) { return Simulation(options).run(); }

double quantileOf(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    const auto place = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(place), values.end());
    return values[place];
}

} // namespace topaztack::bench
