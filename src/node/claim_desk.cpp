#include <topaztack/node/claim_desk.hpp>

#include <topaztack/base/log.hpp>
#include <topaztack/base/random.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace topaztack {

namespace json = boost::json;
namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr std::size_t mostClaimsInBatch = 100;
    constexpr std::size_t mostClaimsWaiting = 2000;
    /// Time for which a claim's row stands at least; the key is new again once it is removed.
    constexpr auto claimRetention = 24h;
    /// After a failed batch new claims are answered at once for this long.
    constexpr auto storeOutTime = 1s;
    constexpr std::size_t mostPeersAsked = 64;
    constexpr auto peerAnswerTime = 300ms;
    constexpr std::size_t mostRemembered = 300'000;
    constexpr std::string_view claimsPrefix = "claim/";
    /// Answers a question about a key that this VM can neither name a ticket for nor vouch for.
    constexpr std::string_view doubtAnswer = "doubt";
    constexpr auto memberWatchInterval = 500ms;
    constexpr auto firstLookInterval = 100ms;
    constexpr auto longestLookInterval = 10s;

    CommitResult storeAnswer(const Result<CommitAnswer>& answer)
    {
        if (answer)
            return answer.value().isCommitted ? CommitResult::Done : CommitResult::Conflict;
        return answer.error().kind == ErrorKind::PlatformAmbiguous ? CommitResult::Ambiguous : CommitResult::Refused;
    }

    std::vector<VmIdentity> livingMembers(const MembershipView& view)
    {
        std::vector<VmIdentity> living;
        for (const auto& member : view.members) {
            if (member.state != MemberState::Dead)
                living.push_back(member.identity);
        }
        return living;
    }

    std::uint32_t vmsInDataCentre(const NodeContext& context)
    {
        const auto view = context.members.load();
        if (view)
            return countAlive(*view, context.settings.dataCentre);
        std::uint32_t count = 0;
        for (const auto& peer : context.settings.peerList)
            count += peer.dataCentre == context.settings.dataCentre ? 1 : 0;
        return count + 1;
    }

    TableCommit commitFor(ClaimBatch& batch, const OperationId& operation)
    {
        TableCommit commit;
        commit.operation = operation;
        for (auto& claim : batch.claims) {
            if (claim.verdict != ClaimVerdict::Open)
                continue;
            claim.wanted.operation = operation;
            commit.conditions.push_back({ claim.row, RowVersion(0) });
            commit.writes.push_back({ claim.row, toText(claim.wanted) });
        }
        return commit;
    }

    /// Other VMs that may have seen a key: members and those of the settings. Nothing if one of them is lost.
    std::optional<std::vector<Endpoint>> peersToAsk(const NodeContext& context)
    {
        std::vector<Endpoint> endpoints;
        const auto add = [&](const Endpoint& endpoint) {
            if (endpoint != context.settings.peers
                && std::find(endpoints.begin(), endpoints.end(), endpoint) == endpoints.end())
                endpoints.push_back(endpoint);
        };
        const auto view = context.members.load();
        if (view) {
            for (const auto& member : view->members) {
                if (member.state == MemberState::Dead)
                    return std::nullopt;
                add(member.endpoint);
            }
        }
        for (const auto& peer : context.settings.peerList)
            add(peer.endpoint);
        if (endpoints.size() > mostPeersAsked)
            return std::nullopt;
        return endpoints;
    }

} // namespace

ClaimDesk::ClaimDesk(NodeContext& context, TicketDesk& tickets, PeerCaller caller)
    : context(context)
    , tickets(tickets)
    , caller(std::move(caller))
    , commits(context.metrics.counter("topaztack_claim_commits_total", "Commits of claims to the table service"))
    , claims(context.metrics.counter("topaztack_claims_total", "Callers' own keys claimed"))
    , refused(context.metrics.counter("topaztack_claims_store_out_total", "Claims ended by an outage of the table"))
{
}

void ClaimDesk::start()
{
    asio::co_spawn(this->context.threads.at(0), this->cleanUp(), asio::detached);
    asio::co_spawn(this->context.threads.at(0), this->lookForClaims(), asio::detached);
    asio::co_spawn(this->context.threads.at(0), this->watchMembers(), asio::detached);
}

/// A process that sees the table without claims knows that no earlier one hides any.
asio::awaitable<void> ClaimDesk::lookForClaims()
{
    Random random(systemSeed());
    std::chrono::milliseconds interval = firstLookInterval;
    while (true) {
        const auto rows = co_await this->context.clients().platform.scan(std::string(claimsPrefix), {}, 1);
        if (rows && rows.value().empty()) {
            const std::lock_guard guard(this->lock);
            onClaimTableEmpty(this->witness);
        }
        if (rows)
            co_return;
        co_await this->pauseUntil(
            Clock::now() + interval / 2 + std::chrono::milliseconds(random.below(interval.count())));
        interval = std::min<std::chrono::milliseconds>(interval * 2, longestLookInterval);
    }
}

asio::awaitable<void> ClaimDesk::watchMembers()
{
    while (true) {
        const auto view = this->context.members.load();
        if (view) {
            const std::lock_guard guard(this->lock);
            onMembersChanged(this->witness, livingMembers(*view), Clock::now());
        }
        co_await this->pauseUntil(Clock::now() + memberWatchInterval);
    }
}

bool ClaimDesk::vouches(const RowKey& row)
{
    const std::lock_guard guard(this->lock);
    return isKnownUnclaimed(this->witness, stableHash(row.value()), Clock::now(), claimRetention);
}

PartAnswer ClaimDesk::handlePart(const PartCall& call)
{
    const RowKey row(call.body);
    const auto ticket = this->known(row);
    if (ticket)
        return { toText(*ticket) };
    return { this->vouches(row) ? std::string {} : std::string(doubtAnswer) };
}

asio::awaitable<Binding> ClaimDesk::bind(PoolName pool, IdempotencyKey key, TimePoint deadline)
{
    const auto row = claimRowKey(pool, key);
    const auto earlier = this->known(row);
    if (earlier)
        co_return Binding { ClaimVerdict::Bound, *earlier };
    const auto pending = this->enqueue(row);
    if (!pending)
        co_return Binding { ClaimVerdict::StoreUnavailable, {} };
    pending->timer.expires_at(deadline);
    if (!pending->isSettled)
        co_await pending->timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return pending->binding;
}

ClaimDesk::PendingPtr ClaimDesk::enqueue(const RowKey& row)
{
    auto pending = std::make_shared<Pending>(this->context.threads.at(IoThreads::here()));
    const std::lock_guard guard(this->lock);
    if (Clock::now() < this->storeOutUntil || this->queue.size() >= mostClaimsWaiting)
        return nullptr;
    auto& waiters = this->waiting[row.value()];
    waiters.push_back(pending);
    if (waiters.size() > 1)
        return pending;
    Claim claim;
    claim.row = row;
    claim.wanted.ticket = this->tickets.issue();
    claim.wanted.expires = WallClock::now() + claimRetention;
    this->queue.push_back(std::move(claim));
    this->claims.add();
    if (!this->isFlushing) {
        this->isFlushing = true;
        asio::co_spawn(this->context.threads.at(IoThreads::here()), this->flush(), asio::detached);
    }
    return pending;
}

asio::awaitable<void> ClaimDesk::pauseUntil(TimePoint time)
{
    asio::steady_timer timer(this->context.threads.at(IoThreads::here()), time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> ClaimDesk::flush()
{
    while (true) {
        co_await this->pauseUntil(this->nextCommit);
        auto batch = this->takeBatch();
        if (batch.claims.empty())
            co_return;
        co_await this->runBatch(batch);
        this->settle(batch);
    }
}

ClaimBatch ClaimDesk::takeBatch()
{
    ClaimBatch batch;
    const std::lock_guard guard(this->lock);
    while (!this->queue.empty() && batch.claims.size() < mostClaimsInBatch) {
        batch.claims.push_back(std::move(this->queue.front()));
        this->queue.pop_front();
    }
    this->isFlushing = !batch.claims.empty();
    this->nextCommit = Clock::now() + claimInterval(vmsInDataCentre(this->context));
    return batch;
}

asio::awaitable<void> ClaimDesk::runBatch(ClaimBatch& batch)
{
    while (true) {
        const auto step = nextStep(batch);
        if (step == ClaimStep::Done)
            co_return;
        if (step == ClaimStep::Read)
            co_await this->readOpen(batch);
        else
            co_await this->commitOpen(batch);
    }
}

asio::awaitable<void> ClaimDesk::commitOpen(ClaimBatch& batch)
{
    this->commits.add();
    const auto answer
        = co_await this->context.clients().platform.commit(commitFor(batch, this->context.newOperation()));
    onCommit(batch, storeAnswer(answer), answer ? answer.value().conflicts : std::vector<RowKey> {});
}

asio::awaitable<void> ClaimDesk::readOpen(ClaimBatch& batch)
{
    std::vector<RowKey> keys;
    for (const auto& claim : batch.claims) {
        if (claim.verdict == ClaimVerdict::Open && claim.needsRead)
            keys.push_back(claim.row);
    }
    const auto rows = co_await this->context.clients().platform.read(std::move(keys));
    if (!rows) {
        onReadFailed(batch);
        co_return;
    }
    for (const auto& row : rows.value())
        onRow(batch, row.key, row.version.value() == 0 ? std::string_view {} : std::string_view(row.value));
}

void ClaimDesk::settle(const ClaimBatch& batch)
{
    const std::lock_guard guard(this->lock);
    for (const auto& claim : batch.claims) {
        Binding binding { claim.verdict, claim.wanted.ticket };
        if (claim.verdict == ClaimVerdict::Taken)
            binding.ticket = claim.winner;
        if (claim.verdict == ClaimVerdict::StoreUnavailable) {
            this->refused.add();
            this->storeOutUntil = Clock::now() + storeOutTime;
        } else {
            this->remember(claim.row, binding.ticket);
        }
        auto waiters = std::move(this->waiting[claim.row.value()]);
        this->waiting.erase(claim.row.value());
        for (const auto& pending : waiters) {
            asio::post(pending->timer.get_executor(), [pending, binding] {
                pending->binding = binding;
                pending->isSettled = true;
                pending->timer.cancel();
            });
        }
    }
}

/// Kept for the retention of answers: with the table out, repeats here still find their ticket.
void ClaimDesk::remember(const RowKey& row, const TicketId& ticket)
{
    const auto accepted = this->context.document();
    const auto now = Clock::now();
    const auto until = now + (accepted ? accepted->document.limits.retention : std::chrono::microseconds(0));
    while (!this->expiries.empty() && this->expiries.front().first <= now) {
        const auto& key = this->expiries.front().second;
        this->remembered.erase(key);
        recordDroppedKey(this->witness, stableHash(key), now + claimRetention, now);
        this->expiries.pop_front();
    }
    if (ticket.home != this->context.identity && this->remembered.size() >= mostRemembered)
        return;
    this->remembered[row.value()] = { ticket, until };
    this->expiries.emplace_back(until, row.value());
}

std::optional<TicketId> ClaimDesk::known(const RowKey& row)
{
    const std::lock_guard guard(this->lock);
    const auto found = this->remembered.find(row.value());
    if (found == this->remembered.end() || found->second.until <= Clock::now())
        return std::nullopt;
    return found->second.ticket;
}

asio::awaitable<KeyKnowledge> ClaimDesk::askPeers(RowKey row, TicketId& ticket, TimePoint deadline)
{
    const auto peers = peersToAsk(this->context);
    if (!peers)
        co_return KeyKnowledge::Uncertain;
    auto knowledge = this->vouches(row) ? KeyKnowledge::NeverSeen : KeyKnowledge::Uncertain;
    for (const auto& peer : *peers) {
        const auto one = co_await this->askOne(peer, row, ticket, std::min(deadline, Clock::now() + peerAnswerTime));
        if (one == KeyKnowledge::Seen)
            co_return one;
        if (one == KeyKnowledge::Uncertain)
            knowledge = one;
    }
    co_return knowledge;
}

asio::awaitable<KeyKnowledge> ClaimDesk::askOne(Endpoint endpoint, RowKey row, TicketId& ticket, TimePoint deadline)
{
    PeerCall message = PartCall { std::string(claimsPart), row.value() };
    const auto answered = co_await this->caller(std::move(endpoint), std::move(message), deadline);
    const auto* answer = answered ? std::get_if<PartAnswer>(&answered.value()) : nullptr;
    if (!answer)
        co_return KeyKnowledge::Uncertain;
    if (answer->body.empty())
        co_return KeyKnowledge::NeverSeen;
    const auto found = parseTicketId(answer->body);
    if (!found)
        co_return KeyKnowledge::Uncertain;
    ticket = *found;
    co_return KeyKnowledge::Seen;
}

json::value ClaimDesk::dump() const
{
    const std::lock_guard guard(this->lock);
    return json::object { { "waiting", this->waiting.size() }, { "queued", this->queue.size() },
        { "remembered", this->remembered.size() }, { "store_out", Clock::now() < this->storeOutUntil } };
}

} // namespace topaztack
