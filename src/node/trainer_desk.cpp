#include <topaztack/node/trainer_desk.hpp>

#include <topaztack/node/service_relay.hpp>

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <set>

namespace topaztack {

namespace json = boost::json;
namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

    constexpr std::uint64_t mostSamplesAtOnce = 1000;
    constexpr std::uint64_t mostGroups = 65536;
    constexpr std::uint64_t mostSamplesOfGroup = 4096;
    constexpr std::uint64_t longestWaitMs = 60'000;
    constexpr auto pollInterval = 100ms;
    constexpr auto storePatience = 2s;

    std::uint64_t numberParameter(std::string_view target, std::string_view name, std::uint64_t fallback)
    {
        const auto text = queryParameter(target, name);
        std::uint64_t number = fallback;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    struct GroupsPost {
        StepNumber step;
        std::vector<PostedGroup> groups;
    };

    PostedGroup readGroup(const json::value& value)
    {
        PostedGroup group;
        group.id = GroupId(json::value_to<std::string>(value.at("id")));
        group.prompt = json::value_to<std::string>(value.at("prompt"));
        group.samples = value.at("samples").to_number<std::uint32_t>();
        return group;
    }

    Result<GroupsPost> parseGroups(std::string_view body)
    {
        GroupsPost post;
        try {
            const auto value = json::parse(body);
            post.step = StepNumber(value.at("step").to_number<std::uint64_t>());
            for (const auto& group : value.at("groups").as_array())
                post.groups.push_back(readGroup(group));
        } catch (const std::exception& problem) {
            return makeError(ErrorKind::BadRequest, std::string("groups not understood: ") + problem.what(),
                "send {\"step\", \"groups\": [{\"id\", \"prompt\", \"samples\"}]}");
        }
        std::set<GroupId> ids;
        for (const auto& group : post.groups) {
            if (!ids.insert(group.id).second)
                return makeError(ErrorKind::BadRequest, "group `" + group.id.value() + "` is given twice");
            if (group.samples == 0 || group.samples > mostSamplesOfGroup)
                return makeError(ErrorKind::BadRequest, "samples of group `" + group.id.value() + "` not in 1..4096");
        }
        if (post.groups.empty() || post.groups.size() > mostGroups)
            return makeError(ErrorKind::BadRequest, "number of groups not in 1..65536");
        return post;
    }

    Result<WeightVersion> parseVersion(std::string_view body)
    {
        try {
            const WeightVersion version(json::parse(body).at("version").to_number<std::uint64_t>());
            if (version.value() > 0)
                return version;
        } catch (const std::exception& problem) {
            return makeError(ErrorKind::BadRequest, std::string("version not understood: ") + problem.what(),
                "send {\"version\": V}, a whole number above 0");
        }
        return makeError(ErrorKind::BadRequest, "version is 0", "send {\"version\": V}, a whole number above 0");
    }

    /// Whether a trainer's call that failed with this error may have taken effect all the same.
    Outcome outcomeOf(const Error& error)
    {
        return error.kind == ErrorKind::PlatformAmbiguous ? Outcome::Unknown : Outcome::NotRun;
    }

    HttpResponse toAnswer(const Result<std::string>& body, unsigned status, const RequestId& id)
    {
        if (!body)
            return errorWithOutcome(body.error(), id, outcomeOf(body.error()));
        return withOutcome(jsonResponse(status, body.value()), Outcome::Ran);
    }

    std::string stepBody(const Ledger& ledger, StepNumber step)
    {
        const auto missing = missingSlots(ledger, step);
        json::array slots;
        for (const auto& [slot, refusal] : missing)
            slots.push_back(json::object {
                { "group", slot.group.value() }, { "index", slot.index.value() }, { "reason", refusalName(refusal) } });
        std::size_t wanted = 0;
        for (const auto& [id, group] : ledger.steps.at(step))
            wanted += group.filled.size();
        return json::serialize(json::object { { "step", step.value() }, { "whole", missing.empty() },
            { "wanted", wanted }, { "filled", wanted - missing.size() }, { "missing", std::move(slots) } });
    }

    Result<std::string> describeStep(const Ledger& ledger, StepNumber step)
    {
        if (ledger.steps.contains(step))
            return stepBody(ledger, step);
        if (step < ledger.lowestStep)
            return json::serialize(json::object {
                { "step", step.value() }, { "whole", true }, { "missing", json::array {} }, { "forgotten", true } });
        return makeError(ErrorKind::BadRequest, "no groups of step " + std::to_string(step.value()) + " were posted",
            "post the step's groups first");
    }

    std::string sampleText(const HandedOutSample& sample, const json::value& payload)
    {
        auto text = json::serialize(payload);
        text.insert(1, "\"seq\":" + std::to_string(sample.entry.sequence.value()) + ",");
        return text;
    }

    Result<json::array> parseObject(const std::string& text)
    {
        boost::system::error_code problem;
        auto value = json::parse(text, problem);
        if (problem || !value.is_array())
            return makeError(ErrorKind::Internal, "object of samples not understood");
        return std::move(value.as_array());
    }

} // namespace

TrainerDesk::TrainerDesk(NodeContext& context, LedgerStore& ledgers, SampleCollector& collector, WeightRoller& roller)
    : context(context)
    , ledgers(ledgers)
    , collector(collector)
    , roller(roller)
{
}

void TrainerDesk::addRoutes(HttpRouter& callers)
{
    callers.add(
        "POST", "/v1/trainers/{}/groups", [this](HttpExchange& exchange) { return this->handleGroups(exchange); });
    callers.add(
        "GET", "/v1/trainers/{}/samples", [this](HttpExchange& exchange) { return this->handleSamples(exchange); });
    callers.add(
        "POST", "/v1/trainers/{}/versions", [this](HttpExchange& exchange) { return this->handleVersions(exchange); });
    callers.add(
        "GET", "/v1/trainers/{}/steps/{}", [this](HttpExchange& exchange) { return this->handleStep(exchange); });
}

Result<TrainerSettings> TrainerDesk::trainerOf(const HttpExchange& exchange) const
{
    const auto accepted = this->context.document();
    if (!accepted)
        return makeError(ErrorKind::NotReady, "no document is in force");
    const TrainerName name(std::string(pathSegment(targetPath(exchange.request().target), 2)));
    const auto* trainer = findTrainer(accepted->document, name);
    if (!trainer)
        return makeError(ErrorKind::UnknownTrainer, "no trainer `" + name.value() + "`");
    return *trainer;
}

asio::awaitable<void> TrainerDesk::handleGroups(HttpExchange& exchange)
{
    const auto id = this->context.newRequestId();
    const auto trainer = this->trainerOf(exchange);
    Result<std::string> answer = trainer ? Result<std::string>(std::string()) : trainer.error();
    if (trainer)
        answer = co_await this->postGroups(trainer.value().name, exchange.request().body);
    co_await exchange.respond(toAnswer(answer, 202, id));
}

asio::awaitable<Result<std::string>> TrainerDesk::postGroups(TrainerName trainer, std::string body)
{
    auto post = parseGroups(body);
    if (!post)
        co_return std::move(post).error();
    const auto giveUp = Clock::now() + storePatience;
    const auto prompts = this->ledgers.newObject("prompts", trainer);
    auto stored = co_await this->ledgers.put(prompts, encodePrompts(post.value().groups), giveUp);
    if (!stored) {
        // The object alone has no effect: no ledger names it.
        co_return makeError(ErrorKind::PlatformUnreachable, stored.error().message);
    }
    std::uint64_t slots = 0;
    for (const auto& group : post.value().groups)
        slots += group.samples;
    LedgerChange change = [post = std::move(post).value(), prompts](Ledger& ledger) -> Result<bool> {
        auto wanted = topaztack::postGroups(ledger, post.step, post.groups, prompts);
        if (!wanted)
            return std::move(wanted).error();
        return wanted.value() > 0;
    };
    auto copy = co_await this->ledgers.update(trainer, std::move(change), std::nullopt, giveUp);
    if (!copy)
        co_return std::move(copy).error();
    this->collector.wake(trainer);
    co_return "{\"slots\":" + std::to_string(slots) + "}";
}

asio::awaitable<void> TrainerDesk::handleVersions(HttpExchange& exchange)
{
    const auto id = this->context.newRequestId();
    const auto trainer = this->trainerOf(exchange);
    Result<std::string> answer = trainer ? Result<std::string>(std::string()) : trainer.error();
    if (trainer)
        answer = co_await this->postVersion(trainer.value(), exchange.request().body);
    co_await exchange.respond(toAnswer(answer, 202, id));
}

asio::awaitable<Result<std::string>> TrainerDesk::postVersion(TrainerSettings trainer, std::string body)
{
    const auto version = parseVersion(body);
    if (!version)
        co_return version.error();
    const auto giveUp = Clock::now() + storePatience;
    LedgerChange change = [version = version.value(), now = WallClock::now()](
                              Ledger& ledger) { return topaztack::postVersion(ledger, version, now); };
    auto copy = co_await this->ledgers.update(trainer.name, std::move(change), std::nullopt, giveUp);
    if (!copy)
        co_return std::move(copy).error();
    this->collector.wake(trainer.name);
    const auto wanted = co_await this->roller.want(trainer.pool, version.value(), giveUp);
    // The trainer's part stands already: the call has taken effect in part, and a repeat completes it.
    if (!wanted)
        co_return makeError(ErrorKind::PlatformAmbiguous, wanted.error().message, "post the same version again");
    co_return "{\"version\":" + std::to_string(version.value().value()) + "}";
}

asio::awaitable<void> TrainerDesk::handleStep(HttpExchange& exchange)
{
    const auto id = this->context.newRequestId();
    const auto trainer = this->trainerOf(exchange);
    const auto segment = pathSegment(targetPath(exchange.request().target), 4);
    std::uint64_t number = 0;
    const auto [end, problem] = std::from_chars(segment.data(), segment.data() + segment.size(), number);
    Result<std::string> answer = trainer ? Result<std::string>(std::string()) : trainer.error();
    if (trainer && (problem != std::errc() || end != segment.data() + segment.size())) {
        answer = makeError(ErrorKind::BadRequest, "`" + std::string(segment) + "` is no step number");
    } else if (trainer) {
        auto copy = co_await this->ledgers.read(trainer.value().name);
        answer = copy ? describeStep(copy.value().ledger, StepNumber(number)) : Result<std::string>(copy.error());
    }
    co_await exchange.respond(toAnswer(answer, 200, id));
}

asio::awaitable<void> TrainerDesk::handleSamples(HttpExchange& exchange)
{
    const auto id = this->context.newRequestId();
    const auto trainer = this->trainerOf(exchange);
    Result<std::string> answer = trainer ? Result<std::string>(std::string()) : trainer.error();
    if (trainer) {
        auto handedOut = co_await this->takeSamples(trainer.value(), exchange.request().target);
        if (handedOut)
            answer = co_await this->loadSamples(std::move(handedOut).value());
        else
            answer = std::move(handedOut).error();
    }
    co_await exchange.respond(toAnswer(answer, 200, id));
}

asio::awaitable<Result<HandOutResult>> TrainerDesk::takeSamples(TrainerSettings trainer, std::string target)
{
    const SequenceNumber after(numberParameter(target, "after", 0));
    const auto most
        = std::clamp<std::uint64_t>(numberParameter(target, "max", mostSamplesAtOnce), 1, mostSamplesAtOnce);
    const auto waitMs = std::min(numberParameter(target, "wait_ms", 0), longestWaitMs);
    const auto begun = Clock::now();
    const auto end = begun + std::chrono::milliseconds(waitMs);
    StalenessBound bound;
    bound.versions = trainer.stalenessBound;
    bound.age = trainer.stalenessTime;
    auto handedOut = std::make_shared<HandOutResult>();
    while (true) {
        LedgerChange change = [handedOut, after, most, bound, now = WallClock::now()](Ledger& ledger) -> Result<bool> {
            auto result = topaztack::handOut(ledger, after, most, bound, now);
            if (!result)
                return std::move(result).error();
            *handedOut = std::move(result).value();
            return handedOut->isChanged;
        };
        auto copy = co_await this->ledgers.update(
            trainer.name, std::move(change), std::nullopt, Clock::now() + storePatience);
        if (!copy)
            co_return std::move(copy).error();
        if (!handedOut->samples.empty())
            this->countDelivery(trainer.name, *handedOut, copy.value().ledger);
        const bool isWhole = !currentStep(copy.value().ledger).has_value();
        if (!isWhole && handedOut->samples.empty())
            this->countIdle(trainer.name, std::min<Duration>(pollInterval, end - Clock::now()));
        if (!handedOut->samples.empty() || Clock::now() >= end)
            co_return std::move(*handedOut);
        co_await waitFor(this->context, pollInterval);
    }
}

asio::awaitable<Result<std::string>> TrainerDesk::loadSamples(HandOutResult handOut)
{
    std::string body = "{\"samples\":[";
    ObjectKey loaded;
    json::array payloads;
    for (const auto& sample : handOut.samples) {
        if (loaded != sample.object) {
            auto text = co_await this->ledgers.get(sample.object, Clock::now() + storePatience);
            if (!text)
                co_return makeError(
                    ErrorKind::PlatformUnreachable, text.error().message, "ask again with the same `after`");
            auto parsed = parseObject(text.value());
            if (!parsed)
                co_return std::move(parsed).error();
            payloads = std::move(parsed).value();
            loaded = sample.object;
        }
        if (sample.entry.indexInObject >= payloads.size())
            co_return makeError(ErrorKind::Internal, "object `" + sample.object.value() + "` lacks a sample");
        body += (body.back() == '[' ? "" : ",") + sampleText(sample, payloads[sample.entry.indexInObject]);
    }
    co_return body + "]}";
}

void TrainerDesk::countDelivery(const TrainerName& trainer, const HandOutResult& handOut, const Ledger& ledger)
{
    const std::lock_guard guard(this->lock);
    auto& totals = this->totals[trainer];
    totals.withdrawn = ledger.withdrawn;
    for (const auto& sample : handOut.samples) {
        if (sample.entry.sequence <= handOut.handedOutBefore)
            continue;
        const auto newest = ledger.newest.value();
        const auto oldest = sample.entry.oldest.value();
        const auto lag = newest > oldest ? newest - oldest : 0;
        totals.lagSum += lag;
        totals.lagMost = std::max(totals.lagMost, lag);
        ++totals.delivered;
    }
    this->context.metrics
        .counter("topaztack_samples_delivered_total", "Samples given to the trainer by this VM, with repeats",
            "trainer=\"" + trainer.value() + "\"")
        .add(handOut.samples.size());
}

void TrainerDesk::countIdle(const TrainerName& trainer, Duration idle)
{
    if (idle <= Duration::zero())
        return;
    const std::lock_guard guard(this->lock);
    this->totals[trainer].idle += idle;
    this->context.metrics
        .counter("topaztack_trainer_idle_ms_total", "Time the trainer's calls waited with no sample to give",
            "trainer=\"" + trainer.value() + "\"")
        .add(static_cast<std::uint64_t>(toMilliseconds(idle).count()));
}

json::value TrainerDesk::dump() const
{
    auto collected = this->collector.dump();
    const std::lock_guard guard(this->lock);
    auto& trainers = collected.as_object();
    for (const auto& [name, totals] : this->totals) {
        auto& state = trainers[name.value()];
        if (!state.is_object())
            state.emplace_object();
        state.as_object()["delivered"] = totals.delivered;
        state.as_object()["lag_mean"]
            = totals.delivered == 0 ? 0.0 : static_cast<double>(totals.lagSum) / static_cast<double>(totals.delivered);
        state.as_object()["lag_most"] = totals.lagMost;
        state.as_object()["idle_ms"] = toMilliseconds(totals.idle).count();
        state.as_object()["withdrawn"] = totals.withdrawn;
    }
    return collected;
}

} // namespace topaztack
